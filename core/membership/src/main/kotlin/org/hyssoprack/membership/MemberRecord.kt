package org.hyssoprack.membership

/**
 * One member and what only this host knows of it.
 *
 * @property profile known for every member in the table.
 * @property changedAtMs when the digest changed last.
 * @property unansweredSinceMs since when a leaving member has failed probes; null if it answers.
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

    /** The digest with the profile, for hosts that may not know the member. */
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
