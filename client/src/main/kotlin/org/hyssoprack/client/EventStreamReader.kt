package org.hyssoprack.client

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readUTF8Line

/** Reads server-sent events from a response body. */
internal class EventStreamReader(private val input: ByteReadChannel) {
    /** Returns the next event; null at the end of the body. Drops an incomplete last event. */
    suspend fun next(): StreamEvent? {
        var name: String? = null
        val data = StringBuilder()
        while (true) {
            val line = input.readUTF8Line(MAX_LINE_CHARS) ?: return null
            when {
                line.startsWith(DATA) -> data.append(line.removePrefix(DATA).trimStart())
                line.startsWith(EVENT) -> name = line.removePrefix(EVENT).trim()
                line.isEmpty() && data.isNotEmpty() -> return StreamEvent(data.toString(), name)
            }
        }
    }

    private companion object {
        const val DATA = "data:"
        const val EVENT = "event:"
        const val MAX_LINE_CHARS = 1_000_000
    }
}
