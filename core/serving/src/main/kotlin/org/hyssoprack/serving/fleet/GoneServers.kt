package org.hyssoprack.serving.fleet

import org.hyssoprack.common.Clock

/** The server instances that were removed last. */
internal class GoneServers(private val clock: Clock) {
    private val removedMs = LinkedHashMap<ServerInstance, Long>()

    operator fun contains(instance: ServerInstance): Boolean = instance in removedMs

    fun add(instance: ServerInstance) {
        val nowMs = clock.nowMs()
        removedMs.values.removeIf { nowMs - it > LIFETIME_MS }
        if (removedMs.size >= MAX_INSTANCES) removedMs.remove(removedMs.keys.first())
        removedMs[instance] = nowMs
    }

    fun remove(instance: ServerInstance) {
        removedMs.remove(instance)
    }

    private companion object {
        // Longer than the age of the copies from which stores are restored.
        const val LIFETIME_MS = 600_000L
        const val MAX_INSTANCES = 4_096
    }
}
