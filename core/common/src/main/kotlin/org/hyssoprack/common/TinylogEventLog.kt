package org.hyssoprack.common

import org.tinylog.kotlin.Logger

/** [EventLog] that writes through tinylog at info level. */
class TinylogEventLog(private val context: List<LogField> = emptyList()) : EventLog {
    override fun event(name: String, vararg fields: LogField) {
        Logger.info { EventLine.format(name = name, fields = context + fields) }
    }
}
