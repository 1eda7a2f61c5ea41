package org.hyssoprack.gateway.forwarding

import java.io.ByteArrayOutputStream

/**
 * Cuts a stream of server-sent events at the ends of its events, so that an event which breaks off
 * is never passed on in part.
 */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()

    /** Id of the last whole event that had one. */
    var lastEventId: String? = null
        private set

    /** Size of the event that has begun and not ended, in bytes. */
    val pendingBytes: Int get() = pending.size()

    /** Whether an event has begun and not ended. */
    val hasPartialEvent: Boolean get() = pendingBytes > 0

    /** Takes [bytes] in and returns the whole events so far; empty if none has ended. */
    fun add(bytes: ByteArray): ByteArray {
        pending.write(bytes)
        val held = pending.toByteArray()
        val end = endOfLastEvent(held)
        if (end == 0) return EMPTY
        pending.reset()
        pending.write(held, end, held.size - end)
        val whole = held.copyOf(end)
        lastEventId = idIn(whole) ?: lastEventId
        return whole
    }

    /** Drops the event that broke off. */
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
