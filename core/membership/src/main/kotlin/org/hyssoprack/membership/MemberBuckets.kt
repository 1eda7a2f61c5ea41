package org.hyssoprack.membership

import java.util.zip.CRC32C
import org.hyssoprack.common.HostId

/**
 * Partitions members into buckets by the hash of the host name and hashes each bucket, so that two
 * hosts find the members in which their lists differ without sending the whole lists.
 */
internal object MemberBuckets {
    private const val MEMBERS_PER_BUCKET = 16

    /** Number of buckets, a power of two, for a list of [members]. */
    fun count(members: Int): Int =
        Integer.highestOneBit((members / MEMBERS_PER_BUCKET).coerceAtLeast(1))

    /** Bucket of [host] among [count]. */
    fun bucketOf(host: HostId, count: Int): Int = crc(host.value).mod(count)

    /** One hash for each of [count] buckets; it does not depend on the order of [digests]. */
    fun hashes(digests: Collection<MemberDigest>, count: Int): List<Int> {
        val sums = IntArray(count)
        digests.forEach { sums[bucketOf(it.host, count)] += hashOf(it) }
        return sums.toList()
    }

    private fun hashOf(digest: MemberDigest): Int = with(digest) {
        crc("$host ${incarnation.value} $refutation ${state.name}")
    }

    private fun crc(text: String): Int {
        val crc = CRC32C()
        crc.update(text.encodeToByteArray())
        return crc.value.toInt()
    }
}
