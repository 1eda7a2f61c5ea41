package org.hyssoprack.membership

/** Finds the members in which the lists of two hosts differ. */
internal class AntiEntropy(private val own: LocalMember, private val beliefs: MemberList) {
    /** Asks a peer to compare its list with this host's. */
    fun ask(news: List<MemberDigest>): MemberMessage {
        val digests = beliefs.digests()
        val hashes = MemberBuckets.hashes(digests, MemberBuckets.count(digests.size))
        return MemberMessage.Compare(own.current, hashes, news)
    }

    /** Answers [ask] with the buckets that differ; null if there are none. */
    fun answer(message: MemberMessage.Compare): MemberMessage? {
        val count = message.hashes.size
        if (count == 0) return null
        val digests = beliefs.digests()
        val hashes = MemberBuckets.hashes(digests, count)
        val buckets = hashes.indices.filter { hashes[it] != message.hashes[it] }
        if (buckets.isEmpty()) return null
        val differing = inBuckets(digests, buckets, count)
        return MemberMessage.Differ(own.current, count, buckets, differing)
    }

    /** Answers [message] with the members that this host knows better; null if there are none. */
    fun answer(message: MemberMessage.Differ): MemberMessage? {
        if (message.bucketCount <= 0) return null
        val theirs = message.digests.associateBy { it.host }
        val own = inBuckets(beliefs.digests(), message.buckets, message.bucketCount)
        val better = own.filter { isNewer(it, theirs[it.host]) }
        return if (better.isEmpty()) null else MemberMessage.Sync(this.own.current, better)
    }

    private fun isNewer(digest: MemberDigest, known: MemberDigest?): Boolean =
        known == null || digest > known

    private fun inBuckets(
        digests: List<MemberDigest>,
        buckets: List<Int>,
        count: Int
    ): List<MemberDigest> {
        val chosen = buckets.toSet()
        return digests.filter { MemberBuckets.bucketOf(it.host, count) in chosen }
    }
}
