package org.hyssoprack.membership

import org.hyssoprack.common.HostId

/** Records of all peers of one host, without the host itself. */
internal class MemberRecords {
    private val records = LinkedHashMap<HostId, MemberRecord>()
    private val inactive = LinkedHashSet<HostId>()

    /** Increases with each change that is visible in the [MemberView]. */
    var version: Long = 0
        private set

    val all: Collection<MemberRecord> get() = records.values
    val size: Int get() = records.size

    /**
     * Members in any state but ALIVE; usually few, so that periodic tasks need not scan all
     * members.
     */
    val notAlive: List<MemberRecord> get() = inactive.mapNotNull { records[it] }

    /** Number of members that are not dead. */
    val notDeadCount: Int get() = size - inactive.count { records[it]?.isDead == true }

    operator fun get(host: HostId): MemberRecord? = records[host]

    /**
     * Stores [digest] if it is newer than the stored one.
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
        if (record.digest.state == MemberState.ALIVE) inactive -= host else inactive += host
        version++
    }

    /** Removes and returns the [notAlive] members that match [isExpired]. */
    fun removeNotAlive(isExpired: (MemberRecord) -> Boolean): List<MemberRecord> {
        val expired = notAlive.filter(isExpired)
        expired.forEach {
            records.remove(it.digest.host)
            inactive -= it.digest.host
        }
        if (expired.isNotEmpty()) version++
        return expired
    }

    private fun MemberRecord?.hasLeft(): Boolean =
        this != null && (left || digest.state == MemberState.LEAVING)
}
