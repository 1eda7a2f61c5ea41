package org.hyssoprack.bench.analysis

import org.hyssoprack.bench.load.PlannedRequest

/** Counts wasted prefill tokens from the event logs of engines and hosts. */
class PrefillAudit(engineEvents: List<LoggedEvent>, hostEvents: List<LoggedEvent>) {
    private val began = engineEvents.filter { it.name == "engine-began" }
    private val ended = engineEvents.filter { it.name == "engine-ended" }
    private val preempted = requests(hostEvents, "preempted")
    private val deadlineExceeded = hostEvents
        .filter { it.name == "finished" && it.text("code") == DEADLINE_CODE }
        .map { it.request }
        .toSet()

    /** Counts tokens over all runs; [planned] maps request ids to planned requests. */
    fun count(planned: Map<String, PlannedRequest>): PrefillCount {
        val wasted = HashMap<WasteCause, Long>()
        ended.forEach { event ->
            val cause = cause(event) ?: return@forEach
            wasted.merge(cause, event.number("prefilled_tokens").toLong(), Long::plus)
        }
        val unfinished = unfinished()
        if (unfinished.isNotEmpty()) wasted[WasteCause.ENGINE_DIED] = unfinished.sumOf(::uncached)
        val repeated = repeatedPrefix(planned)
        if (repeated > 0) wasted[WasteCause.PREFIX_REPEATED] = repeated
        val total =
            ended.sumOf { it.number("prefilled_tokens").toLong() } + unfinished.sumOf(::uncached)
        return PrefillCount(total = total, wasted = wasted)
    }

    /** Returns the ids of requests that started on engines more than once. */
    fun runTwice(): Set<String> = began.groupingBy { it.request }.eachCount()
        .filterValues { it > 1 }
        .keys

    private fun cause(event: LoggedEvent): WasteCause? = when {
        event.text("reason") == "done" -> null
        event.request in preempted -> WasteCause.PREEMPTED
        event.request in deadlineExceeded -> WasteCause.DEADLINE
        event.text("reason") == "connection-lost" -> WasteCause.CONNECTION_LOST
        else -> WasteCause.CANCELLED
    }

    private fun unfinished(): List<LoggedEvent> {
        val endedIds = ended.map { it.request }.toSet()
        return began.filter { it.request !in endedIds }
    }

    private fun uncached(event: LoggedEvent): Long =
        (event.number("prompt_tokens") - event.number("cached_tokens")).toLong()

    private fun repeatedPrefix(planned: Map<String, PlannedRequest>): Long {
        val seen = HashSet<String>()
        return began.sortedBy { it.epochMs }.sumOf { event ->
            val request = planned[event.request]
            val group = request?.prefixGroup
            val isFirst = group == null || seen.add("${request.traffic.name}/$group")
            if (isFirst) 0L else uncachedPrefixTokens(event, request!!.traffic.prefixTokens)
        }
    }

    // A prefix is cached in whole blocks, so its last, partly filled block is never cached.
    private fun uncachedPrefixTokens(event: LoggedEvent, prefixTokens: Int): Long {
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
