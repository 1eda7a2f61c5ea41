package org.hyssoprack.common

/** [EventLog] that discards all events, for tests and embedding. */
object NoOpEventLog : EventLog {
    override fun event(name: String, vararg fields: LogField) = Unit
}
