package org.hyssoprack.gateway.forwarding

import java.io.ByteArrayOutputStream

/**
 * Splits a stream of server-sent events at the ends of its events, so that an incomplete event is
 * never relayed in part. The work for a part depends on its size only, not on what is buffered,
 * however small the parts are.
 */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()

    /** The last two bytes of [pending]; 0 if there are fewer. */
    private var lastByte: Byte = 0
    private var byteBeforeLast: Byte = 0

    /** Id of the last complete event that had one. */
    var lastEventId: String? = null
        private set

    /** Number of complete events so far. */
    var count = 0
        private set

    /** Size of the buffered incomplete event, in bytes. */
    val pendingBytes: Int get() = pending.size()

    /** Whether an incomplete event is buffered. */
    val hasPartialEvent: Boolean get() = pendingBytes > 0

    /** Appends [bytes] and returns the events that are now complete; empty if there are none. */
    fun add(bytes: ByteArray): ByteArray {
        val end = endOfLastEvent(bytes)
        if (end == 0) {
            buffer(bytes, from = 0)
            return EMPTY
        }
        pending.write(bytes, 0, end)
        val complete = pending.toByteArray()
        dropPartial()
        buffer(bytes, from = end)
        lastEventId = idIn(complete) ?: lastEventId
        count += countEvents(complete)
        return complete
    }

    /** Drops the incomplete event. */
    fun dropPartial() {
        pending.reset()
        lastByte = 0
        byteBeforeLast = 0
    }

    private fun buffer(bytes: ByteArray, from: Int) {
        pending.write(bytes, from, bytes.size - from)
        for (i in maxOf(from, bytes.size - 2) until bytes.size) {
            byteBeforeLast = lastByte
            lastByte = bytes[i]
        }
    }

    private fun endOfLastEvent(bytes: ByteArray): Int {
        for (i in bytes.indices.reversed()) {
            if (bytes[i] != LINE_FEED) continue
            val before = byteAt(bytes, i - 1)
            if (before == LINE_FEED) return i + 1
            if (before == CARRIAGE_RETURN && byteAt(bytes, i - 2) == LINE_FEED) return i + 1
        }
        return 0
    }

    /** Returns a byte of [bytes], or one of the last two buffered bytes for an index below 0. */
    private fun byteAt(bytes: ByteArray, index: Int): Byte = when (index) {
        -1 -> lastByte
        -2 -> byteBeforeLast
        else -> bytes[index]
    }

    /** Returns the number of [events], each of which ends with its first empty line. */
    private fun countEvents(events: ByteArray): Int {
        var count = 0
        var isWithinLine = false
        var hasLine = false
        for (byte in events) {
            if (byte == CARRIAGE_RETURN) continue
            if (byte != LINE_FEED) {
                isWithinLine = true
                hasLine = true
                continue
            }
            if (hasLine && !isWithinLine) {
                count++
                hasLine = false
            }
            isWithinLine = false
        }
        return count
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
