package org.hyssoprack.serving.limits

import org.hyssoprack.common.HostId
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.serving.fleet.ServerInstance

/** The crashes of servers that held requests with one part, since its last first event. */
internal class Suspect(val key: PartKey) {
    /**
     * @property explainedBy blocked part that the server held as well.
     * @property isTogether whether one request had both parts.
     */
    class Crash(
        var seenMs: Long,
        var explainedBy: PromptPartId? = null,
        var isTogether: Boolean = false
    )

    val crashes = LinkedHashMap<ServerInstance, Crash>()

    /** Hosts that reported crashes; null stands for this one. */
    val sources = HashSet<HostId?>()

    /** Place of the part in the last prompt, from 0. */
    var depth = 0

    /** Whether another host saw first events. */
    var hasBegunElsewhere = false

    /** Whether the suspicion was logged. */
    var isLogged = false

    /** Time since which no server has the version of the software. */
    var versionGoneMs: Long? = null

    var blockedMs: Long? = null
        private set

    /** Whether the present slot owner listed what this host knows of the part. */
    var isListed = false

    val schedule = TrialSchedule(
        if (key.part.isOwnPart) TrialSchedule.MAX_TRIALS_OWN else TrialSchedule.MAX_TRIALS
    )
    val isBlocked: Boolean get() = blockedMs != null
    val lastMs: Long get() = crashes.values.maxOfOrNull { it.seenMs } ?: Long.MIN_VALUE

    /**
     * The crashes that speak against the part: those that no blocked part explains, and those of
     * requests that had the part and a blocked one, as either may be the cause.
     */
    val evidence: List<Crash>
        get() = crashes.values.filter { it.explainedBy == null || it.isTogether }

    /** The servers whose crashes speak against the part. */
    val evidenceServers: Set<ServerInstance>
        get() = crashes.filterValues { it.explainedBy == null || it.isTogether }.keys

    /** Adds a crash at [seenMs]. Returns whether its server was not known. */
    fun add(server: ServerInstance, seenMs: Long): Boolean {
        val known = crashes[server]
        if (known != null) {
            known.seenMs = minOf(known.seenMs, seenMs)
            return false
        }
        if (crashes.size >= MAX_CRASHES) crashes.remove(crashes.keys.first())
        crashes[server] = Crash(seenMs)
        return true
    }

    fun addSource(source: HostId?) {
        if (sources.size < MAX_SOURCES) sources += source
    }

    /** Blocks the part, or takes an earlier time of the block over. */
    fun block(ms: Long, nowMs: Long) {
        val before = blockedMs
        if (before != null && before <= ms) return
        blockedMs = ms
        if (before == null) schedule.start(blockedMs = ms, nowMs = nowMs)
    }

    fun unblock() {
        blockedMs = null
    }

    private companion object {
        const val MAX_CRASHES = 16
        const val MAX_SOURCES = 32
    }
}
