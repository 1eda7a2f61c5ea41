package org.hyssoprack.common

/** Writes one line of key=value pairs for each event. */
interface EventLog {
    /** Records [name] with [fields], in their order. */
    fun event(name: String, vararg fields: LogField)
}
