package org.hyssoprack.gateway.forwarding

import java.io.ByteArrayOutputStream

/**
 * Splits a stream of server-sent events at the ends of its events, so that an incomplete event is
 * never relayed in part.
 */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()

    /** Id of the last complete event that had one. */
    var lastEventId: String? = null
        private set

    /** Size of the buffered incomplete event, in bytes. */
    val pendingBytes: Int get() = pending.size()

    /** Whether an incomplete event is buffered. */
    val hasPartialEvent: Boolean get() = pendingBytes > 0

    /** Appends [bytes] and returns the events that are now complete; empty if there are none. */
    fun add(bytes: ByteArray): ByteArray {
        pending.write(bytes)
        val buffered = pending.toByteArray()
        val end = endOfLastEvent(buffered)
        if (end == 0) return EMPTY
        pending.reset()
        pending.write(buffered, end, buffered.size - end)
        val complete = buffered.copyOf(end)
        lastEventId = idIn(complete) ?: lastEventId
        return complete
    }

    /** Drops the incomplete event. */
    fun dropPartial() = pending.reset()

    private fun endOfLastEvent(bytes: ByteArray): Int {
        for (i in bytes.size - 1 downTo 1) {
            if (bytes[i] != LINE_FEED) continue
            if (bytes[i - 1] == LINE_FEED) return i + 1
            val isBlankLine = i >= 2 && bytes[i - 1] == CARRIAGE_RETURN && bytes[i - 2] == LINE_FEED
            if (isBlankLine) return i + 1
        }
        return 0
    }

    private fun idIn(events: ByteArray): String? = events.decodeToString()
        .lineSequence()
        .lastOrNull { it.startsWith(ID_FIELD) }
        ?.removePrefix(ID_FIELD)
        ?.trim()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        val EMPTY = ByteArray(0)
    }
}
