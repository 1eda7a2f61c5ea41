package org.hyssoprack.serving.fleet

import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.eq
import org.hyssoprack.serving.limits.HostPosition
import org.hyssoprack.serving.limits.ServerRateLimit

/**
 * Registry of the request rates that backend servers accept from all hosts together, as named in
 * their responses to any host. A limit holds until a request that was sent after it was last named
 * gets a response without one. Times are of this host's monotonic clock.
 *
 * @param ownerShare share of the hosts that report to this one as the slot owner, from 0 to 1.
 * @param position this host's position among the hosts.
 */
class ServerLimitRegistry(
    private val clock: Clock,
    private val log: EventLog,
    private val ownerShare: () -> Double = { 1.0 },
    private val position: () -> HostPosition = { HostPosition(index = 0, count = 1) }
) {
    private val entries = HashMap<ServerInstance, Entry>()
    private var confirmedMs = Long.MIN_VALUE

    /**
     * @property limit null after the end of the limit.
     * @property namedMs time at which the server last named the limit.
     * @property unlimitedMs time of the last request that got a response without a limit.
     */
    private class Entry(
        var limit: ServerRateLimit?,
        var namedMs: Long,
        var unlimitedMs: Long = Long.MIN_VALUE
    ) {
        /** Time at which the server last named the limit to this host. */
        var namedHereMs = Long.MIN_VALUE

        /** Whether the slot owner has not been told of the last naming to this host. */
        var isUnreported = false

        /** Whether the slot owner keeps the limit, according to its last status. */
        var isConfirmed = false
    }

    /** Number of changes of limits. */
    var changes = 0
        private set

    /** Whether the slot owner has to be told at once of a limit that it does not know. */
    var hasNews = false
        private set

    /** Whether no server has named a limit for a long time. */
    val isEmpty: Boolean get() = entries.isEmpty()

    /** Number of servers with a limit. */
    val size: Int get() = entries.values.count { it.limit != null }

    /** Returns the limit of [instance], or null if it has none. */
    operator fun get(instance: ServerInstance): ServerRateLimit? = entries[instance]?.limit

    /** Returns whether [instance] has or had a limit. */
    fun isKnown(instance: ServerInstance): Boolean = instance in entries

    /** Returns whether the slot owner keeps the limit of [instance]. */
    fun isConfirmed(instance: ServerInstance): Boolean = entries[instance]?.isConfirmed ?: false

    /** Records that [instance] named the limit [perS] in a response to this host. */
    fun recordNamed(instance: ServerInstance, perS: Double) {
        val isChanged = recordNamed(ServerLimit(instance, perS, ageMs = 0), source = null)
        val entry = entries.getValue(instance)
        entry.namedHereMs = clock.nowMs()
        entry.isUnreported = true
        if (isChanged) hasNews = true
    }

    /** Records a [limit] that [source] reported. Returns whether this changed the limit in force. */
    fun recordNamed(limit: ServerLimit, source: HostId?): Boolean {
        val namedMs = clock.nowMs() - limit.ageMs
        val entry = entries.getOrPut(limit.server) { Entry(limit = null, namedMs = Long.MIN_VALUE) }
        if (namedMs < entry.namedMs || namedMs <= entry.unlimitedMs) return false
        entry.namedMs = namedMs
        val before = entry.limit?.perS
        if (before == limit.perS) return false
        entry.limit?.perS = limit.perS
        if (before == null) entry.limit = rateLimit(limit)
        val change = if (before == null) "learnt" else "changed"
        logChange(change, limit.server, limit.perS, before, source, limit.ageMs)
        return true
    }

    /**
     * Records that [instance] named no limit in a response to a request of [source] that was sent
     * at [sentMs]; [source] is null for this host.
     */
    fun recordUnlimited(instance: ServerInstance, sentMs: Long, source: HostId? = null) {
        val entry = entries[instance] ?: return
        if (sentMs <= entry.namedMs) return
        entry.unlimitedMs = maxOf(entry.unlimitedMs, sentMs)
        end(instance, entry, source)
    }

    /** Returns the limits in force. */
    fun all(): List<ServerLimit> = limits { true }

    /** Returns the limits that the slot owner may not know, which then count as reported. */
    fun takeUnreported(): List<ServerLimit> {
        hasNews = false
        return limits { it.isUnreported || !it.isConfirmed }
            .onEach { entries.getValue(it.server).isUnreported = false }
    }

    /** Applies the limits that the slot owner [source] keeps. */
    fun confirm(limits: List<ServerLimit>, source: HostId) {
        limits.forEach { recordNamed(it, source) }
        val listed = limits.mapTo(HashSet()) { it.server }
        entries.forEach { (instance, entry) ->
            val isNamedSince = entry.namedHereMs > confirmedMs
            if (entry.isConfirmed && instance !in listed && !isNamedSince) {
                entry.unlimitedMs = maxOf(entry.unlimitedMs, entry.namedMs)
                end(instance, entry, source)
            }
            entry.isConfirmed = instance in listed
        }
        confirmedMs = clock.nowMs()
    }

    /** Records that no slot owner, or another one than before, is responsible. */
    fun ownerChanged() = entries.values.forEach { it.isConfirmed = false }

    /** Forgets the servers that are not among [registered] and named nothing for a time. */
    fun forgetOthers(registered: Set<ServerInstance>) {
        val oldestMs = clock.nowMs() - UNREGISTERED_LIFETIME_MS
        entries.entries.removeIf { (instance, entry) ->
            instance !in registered && maxOf(entry.namedMs, entry.unlimitedMs) < oldestMs
        }
    }

    private fun end(instance: ServerInstance, entry: Entry, source: HostId?) {
        val before = entry.limit?.perS ?: return
        entry.limit = null
        entry.isUnreported = false
        logChange("ended", instance, null, before, source, clock.nowMs() - entry.namedMs)
    }

    private fun rateLimit(limit: ServerLimit) = ServerRateLimit(
        perS = limit.perS,
        clock = clock,
        ownerShare = ownerShare,
        position = position,
        offset = limit.server.id.value.hashCode()
    )

    private fun limits(isIncluded: (Entry) -> Boolean): List<ServerLimit> {
        val nowMs = clock.nowMs()
        return entries.filterValues { isIncluded(it) }.mapNotNull { (instance, entry) ->
            entry.limit?.let { ServerLimit(instance, it.perS, ageMs = nowMs - entry.namedMs) }
        }
    }

    private fun logChange(
        change: String,
        instance: ServerInstance,
        perS: Double?,
        before: Double?,
        source: HostId?,
        ageMs: Long
    ) {
        changes++
        log.event(
            "server-limit",
            "change" eq change,
            "server" eq instance.id,
            "bornMs" eq instance.bornMs,
            "perS" eq perS,
            "before" eq before,
            "source" eq (source ?: "own"),
            "ageMs" eq ageMs
        )
    }

    private companion object {
        // Servers are registered again well within this time after an outage of the store.
        const val UNREGISTERED_LIFETIME_MS = 60_000L
    }
}
