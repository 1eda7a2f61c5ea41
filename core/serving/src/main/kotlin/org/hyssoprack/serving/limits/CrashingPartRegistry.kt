package org.hyssoprack.serving.limits

import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ServiceId

/**
 * Registry of the parts of prompts, and of the requests as a whole by their own parts, that may
 * crash the servers that begin to answer them. The slot owner decides which parts are blocked. A
 * host that has not heard from it for a time decides by what it and its peers have seen. Times are
 * of this host's monotonic clock.
 */
class CrashingPartRegistry(private val clock: Clock, log: EventLog) {
    private val partLog = PartLog(log)
    private val incidents = CrashIncidents()
    private val begun = BegunParts()
    private val table = SuspectTable(incidents, partLog)
    private val own = OwnCrashes()
    private val news = BegunNews()
    private val rule = BlockRule(
        hasBegun = { it.hasBegunElsewhere || it.key in begun },
        crashesOfOneRequest = table::crashesOfOneRequest
    )
    private val decisions = BlockDecisions(table, rule)
    private val records = SuspectRecords(table, begun)
    private val owner = FollowedOwner(clock)
    private var askedTakenMs = clock.nowMs()

    /** Number of changes that the hosts are told of. */
    val changes: Int get() = partLog.changes

    /** Whether the slot owner has to be told at once of something that it does not know. */
    val hasNews: Boolean get() = own.isNew || news.isNew

    /** Number of blocked parts that requests may share. */
    val blockedCount: Int get() = table.blocked.count { !it.key.part.isOwnPart }

    /** Number of blocked requests. */
    val blockedRequestCount: Int get() = table.blocked.count { it.key.part.isOwnPart }

    /** Number of suspected and blocked parts. */
    val size: Int get() = table.size

    internal val begunCount: Int get() = begun.size

    /** Records a [crash] that [source] reported; null stands for this host. */
    fun recordCrash(crash: PartCrash, source: HostId? = null) {
        val nowMs = clock.nowMs()
        val seenMs = nowMs - crash.ageMs
        table.forget(nowMs)
        if (crash.ageMs >= SuspectTable.CRASH_LIFETIME_MS) return
        val considered = consideredParts(crash.parts)
        if (source != null && !owner.isFresh) addBegunNews(crash, considered)
        val parts = considered.filter { part ->
            begun[PartKey(crash.service, crash.version, part)].let { it == null || it <= seenMs }
        }
        if (parts.isEmpty()) return
        if (source == null) own.add(crash.copy(parts = parts), seenMs)
        val incident = incidents.getOrAdd(crash.server, seenMs)
        val keys = parts.map { PartKey(crash.service, crash.version, it) }
        val isNewRequest = incident.add(keys)
        val isNewCrash = keys.mapIndexed { depth, key ->
            suspect(key, depth, crash, seenMs, source)
        }
        if (true in isNewCrash) partLog.count()
        if (isNewRequest || true in isNewCrash) judge(incident, nowMs)
        keys.mapNotNull { table[it] }.forEach { logSuspected(it, nowMs) }
    }

    /**
     * Records the first event of a response of a server of [service] to a request with [parts],
     * [ageMs] milliseconds ago.
     */
    fun recordBegun(
        service: ServiceId,
        version: String?,
        parts: List<PromptPartId>,
        ageMs: Long = 0
    ) = recordBegun(service, version, parts, clock.nowMs() - ageMs, isOwn = true)

    /** Records that another host saw [begun]. */
    fun recordBegun(begun: PartBegun) {
        val ms = clock.nowMs() - begun.ageMs
        recordBegun(begun.service, begun.version, listOf(begun.part), ms, isOwn = false)
    }

    private fun recordBegun(
        service: ServiceId,
        version: String?,
        parts: List<PromptPartId>,
        ms: Long,
        isOwn: Boolean
    ) {
        for (part in consideredParts(parts)) begun.record(PartKey(service, version, part), ms)
        if (table.size == 0) return
        for (part in parts) {
            val suspect = table[PartKey(service, version, part)] ?: continue
            if (isOwn) news.add(suspect.key, ms)
            clear(suspect, ms)
        }
    }

    /** Records that another host got a request with a blocked part. */
    fun recordAsked(asked: PartAsked) = table.blockedAmong(asked.service, listOf(asked.part))
        .forEach { it.schedule.ask(clock.nowMs() - asked.ageMs) }

    /**
     * Returns whether a request of [service] with [parts] may be sent. Where a trial is due, the
     * slot owner lets the request through by [tryTrial]; without an owner it is blocked.
     */
    fun verdict(service: ServiceId, parts: List<PromptPartId>): PartVerdict {
        val nowMs = clock.nowMs()
        judgeLate(nowMs)
        val blocked = table.blockedAmong(service, parts)
        if (blocked.isEmpty()) return PartVerdict.Allowed
        blocked.forEach { it.schedule.ask(nowMs) }
        val notDue = blocked.firstOrNull { !isTrialDue(it, nowMs) }
        if (notDue != null) return PartVerdict.Blocked(notDue.key.part)
        return PartVerdict.TrialDue(blocked.first().key.part)
    }

    /**
     * Takes the trial that is due for the blocked parts among [parts], at the slot owner. Returns
     * whether the request may be sent.
     */
    fun tryTrial(service: ServiceId, parts: List<PromptPartId>): Boolean {
        val nowMs = clock.nowMs()
        val blocked = table.blockedAmong(service, parts)
        if (blocked.any { !it.schedule.isDue(nowMs) }) {
            blocked.forEach { it.schedule.ask(nowMs) }
            return false
        }
        for (suspect in blocked) {
            suspect.schedule.take(nowMs)
            partLog.change("trial", suspect, nowMs)
        }
        return true
    }

    /** Returns what is known of the parts with most crashes, blocked ones first. */
    fun records(): List<SuspectPart> {
        val nowMs = clock.nowMs()
        table.forget(nowMs)
        judgeLate(nowMs)
        return records.list(nowMs) { isTrialDue(it, nowMs) }
    }

    /** Returns the crashes seen here that the slot owner may not know. */
    fun takeUnreported(): List<PartCrash> {
        own.forgetBefore(clock.nowMs() - SuspectTable.CRASH_LIFETIME_MS)
        return own.take(clock.nowMs())
    }

    /** Returns the first events seen here that clear parts which the slot owner suspects. */
    fun takeUnreportedBegun(): List<PartBegun> = news.take(clock.nowMs())

    /**
     * Returns the crashes and first events seen here that the other hosts have to know as well,
     * while no slot owner counts for all of them.
     */
    fun takeForPeers(): PartReport {
        if (owner.isFresh) return PartReport()
        val nowMs = clock.nowMs()
        return PartReport(
            crashes = own.takeForPeers(owner.unconfirmedSinceMs, nowMs),
            begun = news.takeForPeers(nowMs)
        )
    }

    /** Returns the blocked parts of requests that came here since the last call. */
    fun takeAsked(): List<PartAsked> {
        val nowMs = clock.nowMs()
        val sinceMs = nowMs - askedTakenMs
        askedTakenMs = nowMs
        return table.blocked.filter { it.schedule.idleMs(nowMs) <= sinceMs }
            .map { PartAsked(it.key.service, it.key.part, it.schedule.idleMs(nowMs)) }
    }

    /** Applies the [list] of what the slot owner [source] knows and decided. */
    fun confirm(list: List<SuspectPart>, source: HostId) {
        val nowMs = clock.nowMs()
        if (source != owner.id || !owner.isFresh) table.all.forEach { it.isListed = false }
        owner.confirm(source)
        news.confirm(list, nowMs)
        val listed = list.associateBy { it.key }
        own.confirm({ it.isListed(listed) }, nowMs)
        list.forEach { follow(it, nowMs) }
        table.all.toList().forEach { drop(it, listed[it.key], nowMs) }
    }

    /** Adds the [list] of what [source] knows, at a new slot owner. */
    fun adopt(list: List<SuspectPart>, source: HostId) {
        val nowMs = clock.nowMs()
        list.forEach { records.merge(it, source, nowMs) }
    }

    /** Records that no slot owner, or another one than before, is responsible. */
    fun ownerChanged() {
        table.all.forEach { it.isListed = false }
        owner.change()
        own.ownerChanged()
    }

    /**
     * Forgets the parts of servers of [service] with versions of the software other than those
     * [present], if none of its servers has had them for a time.
     */
    fun keepVersions(service: ServiceId, present: Set<String?>) =
        table.keepVersions(service, present, clock.nowMs())

    private fun addBegunNews(crash: PartCrash, parts: List<PromptPartId>) {
        for (part in parts) {
            val key = PartKey(crash.service, crash.version, part)
            val begunMs = begun[key] ?: continue
            if (key !in news) news.add(key, begunMs)
        }
    }

    private fun follow(record: SuspectPart, nowMs: Long) {
        val begunMs = begun[record.key]
        val isCleared = !records.merge(record, owner.id, nowMs)
        if (begunMs != null && (isCleared || !record.hasBegun)) news.add(record.key, begunMs)
        table[record.key]?.schedule?.isDueByOwner = record.isTrialDue
    }

    private fun drop(suspect: Suspect, record: SuspectPart?, nowMs: Long) {
        val isBlocked = record?.blockedAgeMs != null
        if (isBlocked || record != null && !suspect.isBlocked) suspect.isListed = true
        if (!suspect.isListed && owner.isTakingOver) return
        val listed = record?.crashes.orEmpty().mapTo(HashSet()) { it.server }
        if (!isBlocked) table.unblock(suspect, nowMs)
        suspect.crashes.keys.removeIf { it !in listed && !own.isUnreported(it) }
        if (!suspect.isBlocked && suspect.crashes.isEmpty()) table.remove(suspect)
    }

    private fun suspect(
        key: PartKey,
        depth: Int,
        crash: PartCrash,
        seenMs: Long,
        source: HostId?
    ): Boolean {
        val suspect = table.getOrAdd(key)
        suspect.depth = depth
        suspect.addSource(source)
        return suspect.add(crash.server, seenMs)
    }

    private fun judge(incident: CrashIncident, nowMs: Long) {
        if (!owner.isFresh) return decisions.decide(incident, nowMs)
        incident.keys.mapNotNull { table[it] }.filter { it.isBlocked }
            .forEach { table.explain(incident, it) }
    }

    private fun judgeLate(nowMs: Long) {
        if (owner.isFresh) return
        val sinceMs = owner.unconfirmedSinceMs
        incidents.undecided().filter { it.seenMs >= sinceMs }
            .forEach { decisions.decide(it, nowMs) }
    }

    private fun clear(suspect: Suspect, begunMs: Long) {
        val isEarlier = suspect.crashes.values.removeIf { it.seenMs < begunMs }
        val isSince = begunMs >= maxOf(suspect.blockedMs ?: Long.MAX_VALUE, suspect.lastMs)
        if (isEarlier || isSince) table.unblock(suspect, clock.nowMs())
        if (isEarlier) partLog.count()
        if (!suspect.isBlocked && suspect.crashes.isEmpty()) table.remove(suspect)
    }

    private fun isTrialDue(suspect: Suspect, nowMs: Long): Boolean = when {
        owner.isFresh -> suspect.schedule.isDueByOwner
        owner.isKnown -> false
        else -> suspect.isBlocked && suspect.schedule.isDue(nowMs)
    }

    private fun logSuspected(suspect: Suspect, nowMs: Long) {
        if (suspect.isLogged || suspect.isBlocked || suspect.evidence.size < LOGGED_CRASHES) return
        val extentMs = suspect.evidence.let { list ->
            list.maxOf { it.seenMs } - list.minOf { it.seenMs }
        }
        if (extentMs < BlockRule.MIN_EXTENT_MS || rule.isExplainedByOneRequest(suspect)) return
        suspect.isLogged = true
        partLog.change("suspected", suspect, nowMs)
    }

    private fun PartCrash.isListed(listed: Map<PartKey, SuspectPart>): Boolean {
        val record = listed[PartKey(service, version, parts.last())] ?: return false
        return record.crashes.any { it.server == server }
    }

    private companion object {
        const val LOGGED_CRASHES = 2
    }
}
