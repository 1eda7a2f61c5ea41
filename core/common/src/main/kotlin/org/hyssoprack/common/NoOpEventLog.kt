package org.hyssoprack.common

/** [EventLog] that drops every event, for tests and embedding. */
object NoOpEventLog : EventLog {
    override fun event(name: String, vararg fields: LogField) = Unit
}
