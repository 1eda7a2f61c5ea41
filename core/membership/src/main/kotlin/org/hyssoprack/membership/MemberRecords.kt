package org.hyssoprack.membership

import org.hyssoprack.common.HostId

/** All known peers of one host, without itself. */
internal class MemberRecords {
    private val records = LinkedHashMap<HostId, MemberRecord>()
    private val notAlive = LinkedHashSet<HostId>()

    /** Grows with each change that the view shows. */
    var version: Long = 0
        private set

    val all: Collection<MemberRecord> get() = records.values
    val size: Int get() = records.size

    /** Members in any state but alive; few, so that periodic work need not look at all. */
    val others: List<MemberRecord> get() = notAlive.mapNotNull { records[it] }

    /** Number of members that are not dead. */
    val notDeadCount: Int get() = size - notAlive.count { records[it]?.isDead == true }

    operator fun get(host: HostId): MemberRecord? = records[host]

    /**
     * Takes [digest] over if it is newer than what is known.
     *
     * @return the new record; null if nothing changed.
     */
    fun merge(digest: MemberDigest, nowMs: Long): MemberRecord? {
        val old = records[digest.host]
        if (old != null && digest <= old.digest) return null
        val sameRun = old?.takeIf { it.digest.incarnation == digest.incarnation }
        val profile = digest.profile ?: sameRun?.profile ?: return null
        val record = MemberRecord(
            digest = digest.copy(profile = null),
            profile = profile,
            changedAtMs = nowMs,
            status = sameRun?.status ?: MemberStatus(),
            left = digest.state == MemberState.DEAD && sameRun.hasLeft()
        )
        put(record)
        return record
    }

    fun put(record: MemberRecord) {
        val host = record.digest.host
        records[host] = record
        if (record.digest.state == MemberState.ALIVE) notAlive -= host else notAlive += host
        version++
    }

    /** Forgets those of the [others] for which [isOld] holds, and returns them. */
    fun forget(isOld: (MemberRecord) -> Boolean): List<MemberRecord> {
        val old = others.filter(isOld)
        old.forEach {
            records.remove(it.digest.host)
            notAlive -= it.digest.host
        }
        if (old.isNotEmpty()) version++
        return old
    }

    private fun MemberRecord?.hasLeft(): Boolean =
        this != null && (left || digest.state == MemberState.LEAVING)
}
