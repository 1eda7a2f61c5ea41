package org.hyssoprack.explain

import java.time.LocalDateTime
import java.time.ZoneOffset
import java.time.format.DateTimeParseException
import org.hyssoprack.common.EventLine

/**
 * One line of a host's log.
 *
 * @property ms time of the line in milliseconds, comparable among the hosts of one deployment.
 */
class HostEvent(
    val name: String,
    val ms: Long,
    val line: String,
    private val fields: Map<String, String>
) {
    /** The host that logged the line. */
    val host: String get() = this["self"].orEmpty()

    /** Returns the value of a field, or null if the line lacks it or logged it as null. */
    operator fun get(key: String): String? = fields[key]?.takeIf { it != NONE }

    /** Returns the value of a field as a number, or null if it is not one. */
    fun number(key: String): Long? = this[key]?.toLongOrNull()

    companion object {
        private const val NONE = "null"
        private val TIME = Regex("""\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}""")

        /** Parses [line]. Returns null if it has no event; ignores text before the event's time. */
        fun parse(line: String): HostEvent? {
            val start = EventLine.startOf(line) ?: return null
            val fields = EventLine.fieldsOf(line) ?: return null
            val name = fields["event"] ?: return null
            val ms = timeOf(line.substring(0, start)) ?: return null
            return HostEvent(name = name, ms = ms, line = line.substring(start), fields = fields)
        }

        private fun timeOf(head: String): Long? {
            val text = TIME.find(head)?.value ?: return null
            return try {
                LocalDateTime.parse(text).toInstant(ZoneOffset.UTC).toEpochMilli()
            } catch (_: DateTimeParseException) {
                null
            }
        }
    }
}
