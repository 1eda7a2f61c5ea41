package org.hyssoprack.standins.common

import org.hyssoprack.common.EventLog
import org.hyssoprack.common.LogField
import org.hyssoprack.common.TinylogEventLog
import org.tinylog.configuration.Configuration

/** Configures the log of a stand-in process: one event per line on standard output. */
object StandInLog {
    /** Must be called before the first log call. Every event starts with [context]. */
    fun open(vararg context: LogField): EventLog {
        val settings = mapOf(
            "writer" to "console",
            "writer.stream" to "out",
            "writer.format" to "{message}",
            "level@org.hyssoprack" to "info",
            "level" to "warn"
        )
        Configuration.replace(settings)
        return TinylogEventLog(context.toList())
    }
}
