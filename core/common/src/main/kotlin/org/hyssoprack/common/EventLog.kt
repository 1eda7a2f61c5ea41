package org.hyssoprack.common

/** Writes one line of key=value pairs for each event. */
interface EventLog {
    /** Records [name] with [fields], in their order. */
    fun event(name: String, vararg fields: LogField)

    /**
     * Records an event of normal operation, such as a plain success. A log with a limit leaves
     * these out before others.
     */
    fun routine(name: String, vararg fields: LogField) = event(name, *fields)
}
