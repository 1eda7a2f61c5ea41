package org.hyssoprack.membership

import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef

/** Membership list of one host, and the queue of updates that it gossips to its peers. */
internal class MemberList(
    private val local: LocalMember,
    private val settings: MembershipSettings
) {
    private val records = MemberRecords()
    private val gossipQueue = GossipQueue(settings)
    private val localHost = local.digest().host

    val all: Collection<MemberRecord> get() = records.all

    /** Increases with each change that is visible in the [MemberView]. */
    val version: Long get() = records.version

    /** Number of hosts that are not dead, this one included. */
    val memberCount: Int get() = 1 + records.notDeadCount

    /** Members in any state but alive. */
    val notAlive: List<MemberRecord> get() = records.notAlive

    /** Number of peers in any state. */
    val size: Int get() = records.size

    operator fun get(host: HostId): MemberRecord? = records[host]

    /** True if the list contains [ref] or a later run of its host. */
    fun hasRun(ref: HostRef): Boolean =
        records[ref.host].let { it != null && it.digest.incarnation >= ref.incarnation }

    /** All members that are not dead, this host included, with their profiles. */
    fun digests(): List<MemberDigest> =
        records.all.filter { !it.isDead }.map { it.fullDigest() } + local.digest()

    /**
     * Updates to piggyback on a message to [host]. They include the host's own digest if it is
     * SUSPECT or DEAD, so that the host can refute it.
     */
    fun updatesFor(host: HostId, members: Int): List<MemberDigest> {
        val digest = records[host]?.digest
        val isSuspected = digest?.state == MemberState.SUSPECT || digest?.state == MemberState.DEAD
        val updates = gossipQueue.take(members)
        return if (digest != null && isSuspected) updates + digest else updates
    }

    /** Queues this host's own digest for gossip. */
    fun gossipLocal() = gossipQueue.add(local.digest())

    /** Merges a digest received from a peer; queues a change for gossip if [relay] is true. */
    fun merge(nowMs: Long, digest: MemberDigest, relay: Boolean = true): List<MembershipAction> {
        if (digest.host == localHost) {
            if (local.refute(digest)) gossipLocal()
            return emptyList()
        }
        if (digest.state == MemberState.DEAD) return mergeDeath(nowMs, digest)
        return store(nowMs, digest, relay)
    }

    /** Merges the status that [from] sent about itself. */
    fun mergeStatus(nowMs: Long, from: HostRef, status: MemberStatus): List<MembershipAction> {
        val out = store(nowMs, digestOf(from, status))
        val record = records[from.host] ?: return out
        if (record.digest.incarnation != from.incarnation) return out
        if (record.status != status || record.unansweredSinceMs != null) {
            records.put(record.copy(status = status, unansweredSinceMs = null))
        }
        return out
    }

    /**
     * Records a failed probe of [target] and marks it SUSPECT. A leaving member keeps its state;
     * only the start of its failed probes is recorded.
     */
    fun suspect(nowMs: Long, target: HostRef): List<MembershipAction> {
        val record = records[target.host] ?: return emptyList()
        if (record.digest.incarnation != target.incarnation) return emptyList()
        if (record.digest.state != MemberState.LEAVING) {
            return merge(nowMs, record.digest.copy(state = MemberState.SUSPECT))
        }
        if (record.unansweredSinceMs == null) records.put(record.copy(unansweredSinceMs = nowMs))
        return emptyList()
    }

    /** Marks members DEAD whose suspicion was not refuted before the suspicion timeout. */
    fun expireSuspicions(nowMs: Long): List<MembershipAction> {
        val limitMs = settings.suspicionMs(memberCount)
        val expired = records.notAlive.filter { record ->
            val sinceMs = record.suspectedSinceMs()
            sinceMs != null && nowMs - sinceMs >= limitMs
        }
        return expired.flatMap { store(nowMs, it.digest.copy(state = MemberState.DEAD)) }
    }

    /** Restarts all suspicion timeouts after a pause, in which no refutation could be received. */
    fun restartSuspicions(nowMs: Long) {
        records.notAlive.filter { it.digest.state == MemberState.SUSPECT }
            .forEach { records.put(it.copy(changedAtMs = nowMs)) }
        records.notAlive.filter { it.unansweredSinceMs != null }
            .forEach { records.put(it.copy(unansweredSinceMs = null)) }
    }

    /** Removes dead members whose retention time has passed. */
    fun removeExpired(nowMs: Long): List<MembershipAction> = records.removeNotAlive {
        val retentionMs = if (it.left) settings.leftRetentionMs else settings.deadRetentionMs
        it.isDead && nowMs - it.changedAtMs > retentionMs
    }
        .map { MembershipAction.Expired(it.digest.ref, it.profile.domain) }

    // A member that is ALIVE in this list becomes SUSPECT first. This gives it time to refute the
    // DEAD state, for example after a partition has healed.
    private fun mergeDeath(nowMs: Long, digest: MemberDigest): List<MembershipAction> {
        val record = records[digest.host]?.takeIf { it.digest.incarnation == digest.incarnation }
        return when (record?.digest?.state) {
            MemberState.ALIVE -> store(nowMs, digest.copy(state = MemberState.SUSPECT))
            MemberState.SUSPECT ->
                if (isRecentlySuspected(record, nowMs)) emptyList() else store(nowMs, digest)

            else -> store(nowMs, digest)
        }
    }

    private fun isRecentlySuspected(record: MemberRecord, nowMs: Long): Boolean =
        nowMs - record.changedAtMs < settings.suspicionMs(memberCount) / 2

    private fun store(
        nowMs: Long,
        digest: MemberDigest,
        relay: Boolean = true
    ): List<MembershipAction> {
        val old = records[digest.host]
        val record = records.merge(digest, nowMs) ?: return emptyList()
        val isNewRun = old?.digest?.incarnation != digest.incarnation
        if (relay) gossipQueue.add(if (isNewRun) record.fullDigest() else record.digest)
        val address = record.profile.linkAddress
        return listOf(MembershipAction.Changed(record.digest.ref, record.digest.state, address))
    }

    private fun digestOf(from: HostRef, status: MemberStatus): MemberDigest = MemberDigest(
        host = from.host,
        incarnation = from.incarnation,
        state = if (status.leaving) MemberState.LEAVING else MemberState.ALIVE,
        refutation = status.refutation
    )

    private fun MemberRecord.suspectedSinceMs(): Long? =
        if (digest.state == MemberState.SUSPECT) changedAtMs else unansweredSinceMs
}
