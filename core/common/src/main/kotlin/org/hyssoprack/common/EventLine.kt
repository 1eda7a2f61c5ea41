package org.hyssoprack.common

/** Formats and parses the line of one log event: `event=name key=value key="quoted value"`. */
object EventLine {
    private val PLAIN = Regex("""[^\s"=]+""")
    private val PAIR = Regex("""([^\s"=]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)""")

    /** The line for an event; values with blanks, quotes or equals signs are quoted. */
    fun format(name: String, fields: List<LogField>): String {
        val pairs = listOf(LogField(key = "event", value = name)) + fields
        return pairs.joinToString(" ") { "${it.key}=${quote(it.value.toString())}" }
    }

    /** The fields of a [line] in their order; text that is not a pair is skipped. */
    fun parse(line: String): List<LogField> = PAIR.findAll(line).map {
        LogField(key = it.groupValues[1], value = unquote(it.groupValues[2]))
    }
        .toList()

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
