package org.hyssoprack.serving.limits

import org.hyssoprack.serving.fleet.ServerInstance

/** The last crashes of servers. */
internal class CrashIncidents {
    private val incidents = LinkedHashMap<ServerInstance, CrashIncident>()

    val size: Int get() = incidents.size

    operator fun get(server: ServerInstance): CrashIncident? = incidents[server]

    fun getOrAdd(server: ServerInstance, seenMs: Long): CrashIncident {
        incidents[server]?.let { return it }
        if (incidents.size >= MAX_INCIDENTS) incidents.remove(incidents.keys.first())
        return CrashIncident(server, seenMs).also { incidents[server] = it }
    }

    fun withPart(key: PartKey): List<CrashIncident> = incidents.values.filter { key in it.keys }

    fun undecided(): List<CrashIncident> = incidents.values.filter { it.isUndecided }

    fun forgetBefore(oldestMs: Long) {
        incidents.values.removeIf { it.seenMs < oldestMs }
    }

    private companion object {
        const val MAX_INCIDENTS = 128
    }
}
