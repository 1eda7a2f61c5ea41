package org.hyssoprack.backend.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable

/** Reads the contents of the `data:` lines of a server-sent event stream. */
internal class SseDataReader(
    private val input: ByteReadChannel,
    private val readTimeout: ReadTimeout
) {
    private val buffer = ByteArray(BUFFER_BYTES)
    private var start = 0
    private var end = 0
    private var partial: ByteArray? = null

    /** Reads the content of the next `data:` line; null at the end of the stream. */
    suspend fun next(): String? {
        while (true) {
            val line = nextLine() ?: return null
            if (line.startsWith(DATA)) return line.substring(DATA.length).trimStart()
        }
    }

    private suspend fun nextLine(): String? {
        while (true) {
            val newline = indexOfNewline()
            if (newline >= 0) return takeLine(newline)
            keepPartial()
            if (!fill()) return null
        }
    }

    private suspend fun fill(): Boolean {
        readTimeout.arm()
        val count = input.readAvailable(buffer, 0, buffer.size)
        if (!readTimeout.disarm()) throw ReadTimeoutException()
        if (count < 0) return false
        start = 0
        end = count
        return true
    }

    private fun indexOfNewline(): Int {
        for (i in start until end) {
            if (buffer[i] == NEWLINE) return i
        }
        return -1
    }

    private fun takeLine(newline: Int): String {
        val rest = String(buffer, start, newline - start, Charsets.UTF_8)
        val before = partial
        val line = if (before == null) rest else joined(before, newline)
        start = newline + 1
        partial = null
        return line.removeSuffix("\r")
    }

    private fun joined(before: ByteArray, newline: Int): String =
        String(before + buffer.copyOfRange(start, newline), Charsets.UTF_8)

    private fun keepPartial() {
        if (start == end) return
        val rest = buffer.copyOfRange(start, end)
        val joined = partial?.plus(rest) ?: rest
        if (joined.size > MAX_LINE_BYTES) throw OversizedLineException(MAX_LINE_BYTES)
        partial = joined
        start = end
    }

    private companion object {
        const val DATA = "data:"
        const val NEWLINE = '\n'.code.toByte()
        const val BUFFER_BYTES = 4_096
        const val MAX_LINE_BYTES = 1_048_576
    }
}
