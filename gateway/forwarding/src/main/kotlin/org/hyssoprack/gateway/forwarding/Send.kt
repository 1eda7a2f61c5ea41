package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.gateway.ServerConnection

/**
 * One send of a request to [server], and what came back.
 *
 * @param connection number of the connection.
 * @param use which exchange of that connection it is, from 1.
 */
internal class Send(
    private val server: BackendServerId,
    private val connection: Long,
    private val use: Int
) {
    private val skipped = IntArray(SkipReason.entries.size)

    /** Status of the request's own response; null before its head. */
    var status: Int? = null

    /** Whether events of its response have been sent to the caller. */
    var hasEvents = false

    /** Result of the attempt; null if the request ended before the attempt did. */
    var result: AttemptResult? = null

    fun recordSkipped(reason: SkipReason) {
        skipped[reason.ordinal]++
        status = null
    }

    /**
     * Describes the send of a request that ended with [end], for example `s1#12/3:503-not-run`:
     * server, connection, use of the connection, status and what became of the response.
     */
    fun describe(end: RequestResult): String {
        val parts = listOfNotNull(status, stateOf(end), "part-taken".takeIf { isPartlyTaken })
        val skips = SkipReason.entries.filter { skipped[it.ordinal] > 0 }
            .joinToString("") { "+${skipped[it.ordinal]}${it.wireName}" }
        return "$server#$connection/$use:${parts.joinToString("-")}$skips"
    }

    private val isPartlyTaken get() = hasEvents && result !is AttemptResult.Delivered

    private fun stateOf(end: RequestResult): String = when (val result = result) {
        null -> "cancelled"
        is AttemptResult.Delivered -> "taken"
        is AttemptResult.Answered -> if (isAnswer(result, end)) "taken" else "held"
        is AttemptResult.NotRun -> if (result.isOtherServer) "other-server" else "not-run"
        is AttemptResult.Broken -> if (result.isConnectionLost) "lost" else "broken"
        is AttemptResult.Stalled -> if (result.brokenReason == null) "stalled" else "broken"
    }

    private fun isAnswer(result: AttemptResult.Answered, end: RequestResult) =
        end is RequestResult.Answered && end.answer === result

    companion object {
        /** Returns the send of a request to [server] that [connection] has carried last. */
        fun on(connection: ServerConnection, server: BackendServerId) =
            Send(server, connection.number, connection.exchangeCount)
    }
}
