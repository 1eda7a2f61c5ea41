package org.hyssoprack.common

/** Formats and parses the line of one log event: `event=name key=value key="quoted value"`. */
object EventLine {
    private const val START = "event="
    private val PLAIN = Regex("""[^\s"=]+""")
    private val PAIR = Regex("""([^\s"=]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)""")

    /** Formats an event as a line; values with blanks, quotes or equals signs are quoted. */
    fun format(name: String, fields: List<LogField>): String {
        val pairs = listOf(LogField(key = "event", value = name)) + fields
        return pairs.joinToString(" ") { "${it.key}=${quote(it.value.toString())}" }
    }

    /** Returns the fields of [line] in their order; text that is not a pair is skipped. */
    fun parse(line: String): List<LogField> = PAIR.findAll(line).map {
        LogField(key = it.groupValues[1], value = unquote(it.groupValues[2]))
    }
        .toList()

    /** Returns the fields of the event in [line] by key; null if the line contains no event. */
    fun fieldsOf(line: String): Map<String, String>? {
        val start = startOf(line) ?: return null
        return parse(line.substring(start)).associate { it.key to it.value.toString() }
    }

    /**
     * Index at which the event in [line] begins; the text before it is the timestamp of the writer.
     */
    fun startOf(line: String): Int? = line.indexOf(START).takeIf { it >= 0 }

    private fun quote(text: String): String {
        if (PLAIN.matches(text)) return text
        val escaped = text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")
        return "\"$escaped\""
    }

    private fun unquote(text: String): String {
        if (!text.startsWith('"')) return text
        return text.drop(1).dropLast(1)
            .replace("\\n", "\n")
            .replace("\\\"", "\"")
            .replace("\\\\", "\\")
    }
}
