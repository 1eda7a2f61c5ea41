package org.hyssoprack.membership

/** Anti-entropy exchange that reconciles the membership lists of two hosts. */
internal class AntiEntropy(private val local: LocalMember, private val memberList: MemberList) {
    /** Builds the request that sends the bucket hashes of this host's list to a peer. */
    fun request(updates: List<MemberDigest>): MemberMessage {
        val digests = memberList.digests()
        val hashes = MemberBuckets.hashes(digests, MemberBuckets.count(digests.size))
        return MemberMessage.Compare(local.status, hashes, updates)
    }

    /** Answers [message] with this host's members in the differing buckets; null if none differ. */
    fun answer(message: MemberMessage.Compare): MemberMessage? {
        val count = message.hashes.size
        if (count == 0) return null
        val digests = memberList.digests()
        val hashes = MemberBuckets.hashes(digests, count)
        val buckets = hashes.indices.filter { hashes[it] != message.hashes[it] }
        if (buckets.isEmpty()) return null
        val differing = inBuckets(digests, buckets, count)
        return MemberMessage.Differ(local.status, count, buckets, differing)
    }

    /** Answers [message] with the members of which this host has newer digests; null if none. */
    fun answer(message: MemberMessage.Differ): MemberMessage? {
        if (message.bucketCount <= 0) return null
        val theirs = message.digests.associateBy { it.host }
        val ours = inBuckets(memberList.digests(), message.buckets, message.bucketCount)
        val newer = ours.filter { isNewer(it, theirs[it.host]) }
        return if (newer.isEmpty()) null else MemberMessage.Sync(local.status, newer)
    }

    private fun isNewer(digest: MemberDigest, known: MemberDigest?): Boolean =
        known == null || digest > known

    private fun inBuckets(
        digests: List<MemberDigest>,
        buckets: List<Int>,
        count: Int
    ): List<MemberDigest> {
        val selected = buckets.toSet()
        return digests.filter { MemberBuckets.bucketOf(it.host, count) in selected }
    }
}
