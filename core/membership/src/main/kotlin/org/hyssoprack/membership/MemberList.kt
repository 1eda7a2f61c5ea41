package org.hyssoprack.membership

import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef

/** What one host believes of its peers, and the news of it that it passes on. */
internal class MemberList(private val own: LocalMember, private val settings: MembershipSettings) {
    private val records = MemberRecords()
    private val news = GossipQueue(settings)
    private val ownHost = own.digest().host

    val all: Collection<MemberRecord> get() = records.all

    /** Grows with each change that the view shows. */
    val version: Long get() = records.version

    /** Number of hosts that are not dead, this one included. */
    val memberCount: Int get() = 1 + records.notDeadCount

    /** Members in any state but alive. */
    val others: List<MemberRecord> get() = records.others

    /** Number of peers in any state. */
    val size: Int get() = records.size

    operator fun get(host: HostId): MemberRecord? = records[host]

    /** True if [ref] or a later run of its host is known. */
    fun knows(ref: HostRef): Boolean =
        records[ref.host].let { it != null && it.digest.incarnation >= ref.incarnation }

    /** All members that are not dead, this host included, with their profiles. */
    fun digests(): List<MemberDigest> =
        records.all.filter { !it.isDead }.map { it.fullDigest() } + own.digest()

    /** News for a message to [host]; it is told when it is doubted itself. */
    fun newsFor(host: HostId, members: Int): List<MemberDigest> {
        val digest = records[host]?.digest
        val doubted = digest?.state == MemberState.SUSPECT || digest?.state == MemberState.DEAD
        val chosen = news.take(members)
        return if (digest != null && doubted) chosen + digest else chosen
    }

    /** Spreads this host's own digest. */
    fun spreadOwn() = news.add(own.digest())

    /** Takes over what a peer says of some host; [spread] tells whether to pass it on. */
    fun learn(nowMs: Long, digest: MemberDigest, spread: Boolean = true): List<MembershipAction> {
        if (digest.host == ownHost) {
            if (own.learn(digest)) spreadOwn()
            return emptyList()
        }
        if (digest.state == MemberState.DEAD) return learnOfDeath(nowMs, digest)
        return adopt(nowMs, digest, spread)
    }

    /** Takes over what [from] says of itself. */
    fun hear(nowMs: Long, from: HostRef, status: MemberStatus): List<MembershipAction> {
        val out = adopt(nowMs, digestOf(from, status))
        val record = records[from.host] ?: return out
        if (record.digest.incarnation != from.incarnation) return out
        if (record.status != status || record.unansweredSinceMs != null) {
            records.put(record.copy(status = status, unansweredSinceMs = null))
        }
        return out
    }

    /** Notes that a probe of [target] failed. */
    fun suspect(nowMs: Long, target: HostRef): List<MembershipAction> {
        val record = records[target.host] ?: return emptyList()
        if (record.digest.incarnation != target.incarnation) return emptyList()
        if (record.digest.state != MemberState.LEAVING) {
            return learn(nowMs, record.digest.copy(state = MemberState.SUSPECT))
        }
        if (record.unansweredSinceMs == null) records.put(record.copy(unansweredSinceMs = nowMs))
        return emptyList()
    }

    /** Declares members dead that did not refute their suspicion in time. */
    fun endSuspicions(nowMs: Long): List<MembershipAction> {
        val limitMs = settings.suspicionMs(memberCount)
        val over = records.others.filter { record ->
            val sinceMs = record.suspectedSinceMs()
            sinceMs != null && nowMs - sinceMs >= limitMs
        }
        return over.flatMap { adopt(nowMs, it.digest.copy(state = MemberState.DEAD)) }
    }

    /** Starts all suspicions anew, since this host could not have heard a refutation. */
    fun restartSuspicions(nowMs: Long) {
        records.others.filter { it.digest.state == MemberState.SUSPECT }
            .forEach { records.put(it.copy(changedAtMs = nowMs)) }
        records.others.filter { it.unansweredSinceMs != null }
            .forEach { records.put(it.copy(unansweredSinceMs = null)) }
    }

    /** Drops members that have been dead for long. */
    fun forgetOld(nowMs: Long): List<MembershipAction> = records.forget {
        val retentionMs = if (it.left) settings.leftRetentionMs else settings.deadRetentionMs
        it.isDead && nowMs - it.changedAtMs > retentionMs
    }
        .map { MembershipAction.Expired(it.digest.ref, it.profile.domain) }

    // A member that is alive here gets the time to refute its death, as after a partition.
    private fun learnOfDeath(nowMs: Long, digest: MemberDigest): List<MembershipAction> {
        val record = records[digest.host]?.takeIf { it.digest.incarnation == digest.incarnation }
        return when (record?.digest?.state) {
            MemberState.ALIVE -> adopt(nowMs, digest.copy(state = MemberState.SUSPECT))
            MemberState.SUSPECT -> if (isFresh(record, nowMs)) emptyList() else adopt(nowMs, digest)
            else -> adopt(nowMs, digest)
        }
    }

    private fun isFresh(suspected: MemberRecord, nowMs: Long): Boolean =
        nowMs - suspected.changedAtMs < settings.suspicionMs(memberCount) / 2

    private fun adopt(
        nowMs: Long,
        digest: MemberDigest,
        spread: Boolean = true
    ): List<MembershipAction> {
        val old = records[digest.host]
        val record = records.merge(digest, nowMs) ?: return emptyList()
        val isNewRun = old?.digest?.incarnation != digest.incarnation
        if (spread) news.add(if (isNewRun) record.fullDigest() else record.digest)
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
