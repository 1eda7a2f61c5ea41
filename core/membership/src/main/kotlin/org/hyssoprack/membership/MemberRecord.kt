package org.hyssoprack.membership

/**
 * Entry of the membership list: the gossiped digest of one member and local data about it.
 *
 * @property profile attributes of the run; a member is listed only once they have been received.
 * @property changedAtMs time of the last change of the digest.
 * @property unansweredSinceMs time of the first of the failed probes of a leaving member; null if
 *   it answers.
 * @property left true if the member was leaving before it died.
 */
internal data class MemberRecord(
    val digest: MemberDigest,
    val profile: MemberProfile,
    val changedAtMs: Long,
    val status: MemberStatus = MemberStatus(),
    val unansweredSinceMs: Long? = null,
    val left: Boolean = false
) {
    val isDead: Boolean get() = digest.state == MemberState.DEAD

    /** The digest with the profile, for receivers that may not have the member in their lists. */
    fun fullDigest(): MemberDigest = digest.copy(profile = profile)

    fun toMember(): Member = Member(
        ref = digest.ref,
        linkAddress = profile.linkAddress,
        callerAddress = profile.callerAddress,
        domain = profile.domain,
        region = profile.region,
        state = digest.state,
        refutation = digest.refutation,
        load = status.load,
        bundle = status.bundle,
        capacity = profile.capacity
    )
}
