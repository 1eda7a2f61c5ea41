package org.hyssoprack.bench.analysis

import java.nio.file.Path
import kotlin.io.path.useLines
import org.hyssoprack.common.EventLine

/** One event from the log of a process. */
class LoggedEvent(val process: String, val name: String, private val fields: Map<String, String>) {
    val request: String get() = fields["request"].orEmpty()
    val epochMs: Long get() = fields["epoch_ms"]?.toLongOrNull() ?: 0

    /** Returns the value of field [key] as text, or null if it is absent. */
    fun text(key: String): String? = fields[key]

    /** Returns the value of field [key] as a number, or 0 if it is absent or not a number. */
    fun number(key: String): Int = fields[key]?.toIntOrNull() ?: 0

    companion object {
        /** Reads all events in [file] in log order. */
        fun read(process: String, file: Path): List<LoggedEvent> = file.useLines { lines ->
            lines.mapNotNull { parse(process, it) }.toList()
        }

        private fun parse(process: String, line: String): LoggedEvent? {
            val fields = EventLine.fieldsOf(line) ?: return null
            val name = fields["event"] ?: return null
            return LoggedEvent(process = process, name = name, fields = fields)
        }
    }
}
