package org.hyssoprack.gateway.forwarding.ratelimit

import org.hyssoprack.common.EventLog
import org.hyssoprack.common.LogField

/** [EventLog] that keeps the events of a simulated host. */
internal class RecordedEvents : EventLog {
    private val events = ArrayList<Pair<String, Map<String, String>>>()

    override fun event(name: String, vararg fields: LogField) {
        events += name to fields.associate { it.key to it.value.toString() }
    }

    /** Returns the fields of the events with [name]. */
    fun named(name: String): List<Map<String, String>> =
        events.filter { it.first == name }.map { it.second }

    fun clear() = events.clear()
}
