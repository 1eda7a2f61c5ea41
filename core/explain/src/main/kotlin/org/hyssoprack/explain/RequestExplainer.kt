package org.hyssoprack.explain

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

/** Determines from the log lines of all hosts why a request ended as it did. */
class RequestExplainer(events: List<HostEvent>) {
    private val events = events.sortedBy { it.ms }

    /**
     * Returns the cause of the end of [request]. Fails with BODY_INVALID if no log line has its id.
     */
    fun explain(request: String): Either<Failure, Explanation> = either {
        val own = events.filter { it["request"] == request }
        val end = own.lastOrNull { it.name in END_EVENTS } ?: own.lastOrNull()
        ensureNotNull(end) {
            Failure(
                ResultCode.BODY_INVALID,
                "No log line has the request id $request; expected the logs of all hosts."
            )
        }
        val found = if (end.name == REQUEST_REFUSED) refused(end) else ended(end)
        sendsBefore(end, own)?.let { withSends(found, it) } ?: found
    }

    /** Returns the sends that are logged with [end]: the last line of its host before it. */
    private fun sendsBefore(end: HostEvent, own: List<HostEvent>): RequestSends? = own
        .filter { it.host == end.host }
        .takeWhile { it !== end }
        .lastOrNull()
        ?.takeIf { it.name == RequestSends.EVENT }
        ?.let { RequestSends(it) }

    private fun withSends(found: Explanation, sends: RequestSends) = found.copy(
        summary = "${found.summary.removeSuffix(".")}. ${sends.summary()}",
        evidence = listOf(found.evidence.first(), sends.event.line) + found.evidence.drop(1)
    )

    private fun refused(end: HostEvent): Explanation {
        val code = end.number("code")?.toInt()?.let { ResultCode.ofNumber(it) }
        return when (code) {
            ResultCode.HOST_ISOLATED, ResultCode.NO_SETTINGS -> isolated(end)
            ResultCode.HOST_STOPPING -> explanation(
                Cause.HOST_STOPPING,
                end,
                "The host was stopping."
            )
            ResultCode.PROMPT_PART_BLOCKED -> blockedPart(end)
            ResultCode.REQUEST_BLOCKED -> blockedRequest(end)
            else -> explanation(Cause.NOT_ALLOWED, end, end["detail"].orEmpty())
        }
    }

    private fun isolated(end: HostEvent): Explanation {
        val lost = unresolvedStoreLosses(end.ms)
        val own = lost[end.host]
        val others = lost.keys - end.host
        val hosts = events.mapTo(HashSet()) { it.host }.size
        val cause = if (others.size * 2 >= hosts - 1 && others.isNotEmpty()) {
            Cause.STORE_AWAY
        } else {
            Cause.HOST_CUT_OFF
        }
        val summary = "${end["detail"].orEmpty()} ${others.size} of ${hosts - 1} other hosts had " +
            "lost the connection to the store as well."
        return Explanation(cause, summary, listOfNotNull(end.line, own?.line))
    }

    /** Returns the event of the last connection loss for each host without the store at [ms]. */
    private fun unresolvedStoreLosses(ms: Long): Map<String, HostEvent> {
        val open = HashMap<Pair<String, String?>, HostEvent>()
        events.takeWhile { it.ms <= ms }.forEach {
            val key = it.host to it["table"]
            if (it.name == "store-lost") open[key] = it
            if (it.name == "store-regained" || it.name == "host-started") open.remove(key)
        }
        return open.values.associateBy { it.host }
    }

    private fun ended(end: HostEvent): Explanation {
        val code = end["code"].orEmpty()
        return when {
            code in CALLER_LEFT_CODES -> explanation(Cause.CALLER_LEFT, end, "The caller left.")
            code == ResultCode.SERVERS_LIMITED.wireName -> limited(end)
            code == ResultCode.PROMPT_PART_BLOCKED.wireName -> blockedPart(end)
            code == ResultCode.REQUEST_BLOCKED.wireName -> blockedRequest(end)
            code in NO_SLOT_CODES -> queued(end, "No slot was free in time: ${end["detail"]}")
            code in SERVER_FAILURE_CODES || isServerError(code) -> serverFailed(end)
            isMostlyQueued(end) -> queued(end, queueingSummary(end))
            isSlow(end) -> slow(end)
            else -> explanation(Cause.IN_ORDER, end, "The request ended with $code.")
        }
    }

    private fun isServerError(code: String) =
        code.removePrefix("server-").toIntOrNull()?.let { it >= FIRST_ERROR_STATUS } ?: false

    private fun isMostlyQueued(end: HostEvent): Boolean {
        val queuedMs = end.number("queuedMs") ?: return false
        return queuedMs >= SLOW_MS && queuedMs * 2 >= firstOrTotalMs(end)
    }

    private fun isSlow(end: HostEvent) = firstOrTotalMs(end) >= SLOW_MS

    private fun firstOrTotalMs(end: HostEvent): Long =
        end.number("firstMs") ?: end.number("totalMs") ?: 0

    private fun queueingSummary(end: HostEvent) =
        "Of ${firstOrTotalMs(end)} ms, ${end.number("queuedMs")} passed before a slot was granted."

    private fun queued(end: HostEvent, summary: String): Explanation {
        val nearby = events.filter { it.name == REQUEST_ENDED && isNear(it, end, QUEUE_WINDOW_MS) }
        val refused = nearby.count { it["code"] in NO_SLOT_CODES }
        val count = "$refused of ${nearby.size} requests that ended within " +
            "$QUEUE_WINDOW_MS ms of this one got no slot."
        return Explanation(Cause.QUEUEING, summary, listOf(end.line, count))
    }

    private fun limited(end: HostEvent): Explanation {
        val limits = events.filter { it.name == "server-limit" && it.host == end.host }
            .takeWhile { it.ms <= end.ms }
            .groupBy { it["server"] }
            .mapNotNull { (_, changes) -> changes.last().takeIf { it["change"] != "ended" } }
        return Explanation(
            cause = Cause.SERVER_LIMIT,
            summary = "The rate limits of the servers left no request in time: ${end["detail"]}",
            evidence = listOf(end.line) + limits.map { it.line }
        )
    }

    /** Explains a request that was refused for a part of its prompt, by what all hosts logged. */
    private fun blockedPart(end: HostEvent): Explanation {
        val part = end["part"] ?: partIn(end, PART_PATTERN)
        val summary = end["detail"] ?: "Part ${part ?: "unknown"} of the prompt crashes servers."
        return Explanation(Cause.PROMPT_PART, summary, listOf(end.line) + history(part, end))
    }

    /** Explains a request that was refused since it crashed servers before. */
    private fun blockedRequest(end: HostEvent): Explanation {
        val part = end["part"] ?: partIn(end, OWN_PART_PATTERN)
        val summary = end["detail"] ?: "The same request crashed servers before."
        return Explanation(Cause.CRASHING_REQUEST, summary, listOf(end.line) + history(part, end))
    }

    private fun history(part: String?, end: HostEvent): List<String> = events
        .filter { it.name in PART_EVENTS && part != null && it["part"] == part }
        .takeWhile { it.ms <= end.ms }
        .takeLast(MAX_PART_LINES)
        .map { it.line }

    private fun partIn(end: HostEvent, pattern: Regex): String? =
        pattern.find(end["detail"].orEmpty())?.groupValues?.get(1)

    private fun serverFailed(end: HostEvent): Explanation {
        val server = end["servers"].orEmpty().substringAfterLast(',')
        val others = events
            .filter { it.name == REQUEST_ENDED && it !== end && usesServer(it, server) }
            .filter { isNear(it, end, SERVER_WINDOW_MS) }
        val failed = others.count {
            it["code"] in SERVER_FAILURE_CODES ||
                isServerError(it["code"].orEmpty())
        }
        val changes = events.filter { it.name == "server-changed" && it["server"] == server }
            .filter { isNear(it, end, SERVER_WINDOW_MS) }
        val count = "$failed of ${others.size} other requests at $server failed within " +
            "$SERVER_WINDOW_MS ms of this one."
        return Explanation(
            cause = Cause.SERVER_FAILED,
            summary = "Server $server: ${end["detail"] ?: end["code"]}",
            evidence = listOf(end.line, count) + changes.map { it.line }
        )
    }

    private fun slow(end: HostEvent) = explanation(
        Cause.SLOW_SERVER,
        end,
        "${firstOrTotalMs(
            end
        )} ms, of which ${end.number("queuedMs") ?: 0} before a slot was granted."
    )

    private fun usesServer(event: HostEvent, server: String) =
        server in event["servers"].orEmpty().split(',')

    private fun isNear(event: HostEvent, end: HostEvent, withinMs: Long) =
        event.ms in end.ms - withinMs..end.ms + withinMs

    private fun explanation(cause: Cause, end: HostEvent, summary: String) =
        Explanation(cause, summary, listOf(end.line))

    private companion object {
        const val REQUEST_REFUSED = "request-refused"
        const val REQUEST_ENDED = "request-ended"
        val END_EVENTS = setOf(REQUEST_REFUSED, REQUEST_ENDED)
        val PART_EVENTS = setOf("prompt-part", "crashing-request")
        const val FIRST_ERROR_STATUS = 500

        // Callers of interactive routes notice a wait of this length.
        const val SLOW_MS = 200L

        // A queue fills and empties within about this time.
        const val QUEUE_WINDOW_MS = 1_000L

        // A failed server is removed from the fleet within this time.
        const val SERVER_WINDOW_MS = 5_000L

        /** Maximum number of log lines about a part of the prompt that are listed as evidence. */
        const val MAX_PART_LINES = 10
        val PART_PATTERN = Regex("""^Part (\S+) of the prompt""")
        val OWN_PART_PATTERN = Regex("""\b(request:[0-9a-f]+)""")
        val CALLER_LEFT_CODES = names(ResultCode.CALLER_LEFT, ResultCode.CALLER_LEFT_RUNNING)
        val NO_SLOT_CODES = names(
            ResultCode.QUEUE_FULL,
            ResultCode.DEADLINE_UNREACHABLE,
            ResultCode.DEADLINE_PASSED_WAITING,
            ResultCode.NO_BACKEND_SERVER
        )
        val SERVER_FAILURE_CODES = names(
            ResultCode.STREAM_BROKEN,
            ResultCode.STREAM_SILENT,
            ResultCode.BACKEND_REFUSED,
            ResultCode.DEADLINE_PASSED_RUNNING,
            ResultCode.ANSWER_MISMATCHED
        )

        fun names(vararg codes: ResultCode): Set<String> = codes.mapTo(HashSet()) { it.wireName }
    }
}
