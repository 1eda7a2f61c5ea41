package org.hyssoprack.bench.analysis

import org.hyssoprack.bench.load.PlannedRequest

/** Counts wasted prefill from the logs of engines and hosts. */
class PrefillAudit(engineEvents: List<LoggedEvent>, hostEvents: List<LoggedEvent>) {
    private val began = engineEvents.filter { it.name == "engine-began" }
    private val ended = engineEvents.filter { it.name == "engine-ended" }
    private val preempted = requests(hostEvents, "preempted")
    private val late = hostEvents
        .filter { it.name == "finished" && it.text("code") == DEADLINE_CODE }
        .map { it.request }
        .toSet()

    /** Counts over all runs; [planned] gives the shared prefix of each request id. */
    fun count(planned: Map<String, PlannedRequest>): PrefillCount {
        val wasted = HashMap<WasteCause, Long>()
        ended.forEach { event ->
            val cause = cause(event) ?: return@forEach
            wasted.merge(cause, event.number("prefilled_tokens").toLong(), Long::plus)
        }
        val died = died()
        if (died.isNotEmpty()) wasted[WasteCause.ENGINE_DIED] = died.sumOf(::uncached)
        val repeated = repeatedPrefix(planned)
        if (repeated > 0) wasted[WasteCause.PREFIX_REPEATED] = repeated
        val total = ended.sumOf { it.number("prefilled_tokens").toLong() } + died.sumOf(::uncached)
        return PrefillCount(total = total, wasted = wasted)
    }

    /** Requests that began on engines more than once. */
    fun runTwice(): Set<String> = began.groupingBy { it.request }.eachCount()
        .filterValues { it > 1 }
        .keys

    private fun cause(event: LoggedEvent): WasteCause? = when {
        event.text("reason") == "done" -> null
        event.request in preempted -> WasteCause.PREEMPTED
        event.request in late -> WasteCause.DEADLINE
        event.text("reason") == "connection-lost" -> WasteCause.CONNECTION_LOST
        else -> WasteCause.CANCELLED
    }

    private fun died(): List<LoggedEvent> {
        val over = ended.map { it.request }.toSet()
        return began.filter { it.request !in over }
    }

    private fun uncached(event: LoggedEvent): Long =
        (event.number("prompt_tokens") - event.number("cached_tokens")).toLong()

    private fun repeatedPrefix(planned: Map<String, PlannedRequest>): Long {
        val seen = HashSet<String>()
        return began.sortedBy { it.epochMs }.sumOf { event ->
            val request = planned[event.request]
            val group = request?.prefixGroup
            val isFirst = group == null || seen.add("${request.traffic.name}/$group")
            if (isFirst) 0L else missing(event, request!!.traffic.prefixTokens)
        }
    }

    // The last, partly filled block of a prefix is never cached.
    private fun missing(event: LoggedEvent, prefixTokens: Int): Long {
        val cacheable = prefixTokens / BLOCK_TOKENS * BLOCK_TOKENS
        return maxOf(0, cacheable - event.number("cached_tokens")).toLong()
    }

    private fun requests(events: List<LoggedEvent>, name: String): Set<String> =
        events.filter { it.name == name }.map { it.request }.toSet()

    private companion object {
        const val DEADLINE_CODE = "3004"
        const val BLOCK_TOKENS = 64
    }
}
