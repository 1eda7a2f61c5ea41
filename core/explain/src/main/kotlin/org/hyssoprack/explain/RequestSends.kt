package org.hyssoprack.explain

/** The sends of a request, read from its `request-sends` line. */
internal class RequestSends(val event: HostEvent) {
    private class Send(
        val position: Long,
        val server: String,
        val connection: String,
        val use: String,
        outcome: String
    ) {
        private val state = outcome.substringBefore('+')
        val isPartlyTaken = state.endsWith("part-taken")
        val isTaken = state.endsWith("taken") && !isPartlyTaken
    }

    private val sent = event.number("sent") ?: 0
    private val sends = read()

    /** Says in one sentence which sends gave the caller's answer. */
    fun summary(): String {
        val givers = sends.filter { it.isTaken || it.isPartlyTaken }
        if (givers.isEmpty()) return "No answer came from any of $sent sends.${skippedSummary()}"
        val whole = if (givers.any { it.isTaken }) "The answer" else "A part of the answer"
        val positions = givers.joinToString(" and ") { "${it.position}" }
        val places = givers.joinToString("; ") {
            "server ${it.server}, connection ${it.connection}, use ${it.use}"
        }
        return "$whole came from send $positions of $sent: $places.${skippedSummary()}"
    }

    private fun skippedSummary(): String {
        val skipped = event.number("skipped") ?: 0
        return if (skipped == 0L) "" else " Responses skipped: $skipped."
    }

    // Sends that are not listed come before the last one.
    private fun read(): List<Send> {
        val entries = ENTRY.findAll(event["sends"].orEmpty()).toList()
        return entries.mapIndexed { index, entry ->
            val (server, connection, use, outcome) = entry.destructured
            val position = if (index == entries.lastIndex) sent else index + 1L
            Send(position, server, connection, use, outcome)
        }
    }

    companion object {
        const val EVENT = "request-sends"
        private val ENTRY = Regex("""([^,#]+)#(\d+)/(\d+):([^,]*)""")
    }
}
