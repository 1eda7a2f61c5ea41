package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.gateway.ServerConnection

/** Record of the sends of one request: the first ones and the last, at most [MAX_LISTED]. */
internal class SendTrace {
    private val listed = ArrayList<Send>(1)
    private val skipped = IntArray(SkipReason.entries.size)

    /** Number of sends. */
    var count = 0
        private set

    /** Whether the request was sent once at most, and no response was skipped. */
    val isPlain: Boolean get() = count <= 1 && skippedCount == 0

    /** Number of sends that [describe] leaves out, all of them before the last one. */
    val unlisted: Int get() = count - listed.size

    /** Number of responses that were skipped, over all sends. */
    val skippedCount: Int get() = skipped.sum()

    /** Number of responses that were skipped for [reason], over all sends. */
    fun skippedCount(reason: SkipReason): Int = skipped[reason.ordinal]

    /** Records that the request has been sent to [server] on [connection]. */
    fun recordSend(server: BackendServerId, connection: ServerConnection) {
        if (listed.size == MAX_LISTED) listed.removeAt(listed.lastIndex)
        listed += Send.on(connection, server)
        count++
    }

    /** Records the head of a response to the last send. */
    fun recordHead(status: Int) {
        listed.last().status = status
    }

    /** Records that a response to the last send is not taken for the request's own. */
    fun recordSkipped(reason: SkipReason) {
        listed.last().recordSkipped(reason)
        skipped[reason.ordinal]++
    }

    /** Records that events of the last send's response have been sent to the caller. */
    fun recordEvents() {
        listed.last().hasEvents = true
    }

    /** Records the result of an attempt, which has sent the request unless it found no server. */
    fun recordResult(result: AttemptResult) {
        val last = listed.lastOrNull() ?: return
        if (last.result == null) last.result = result
    }

    /** Describes the listed sends of a request that ended with [end], in their order. */
    fun describe(end: RequestResult): String = listed.joinToString(",") { it.describe(end) }

    companion object {
        const val MAX_LISTED = 8
    }
}
