package org.hyssoprack.serving.fleet

import org.hyssoprack.common.Clock

/**
 * Registry of backend server instances that announced their shutdown in a response. The
 * announcement takes precedence over the store, which may record the shutdown later or never, or
 * may list the instance as ready again.
 */
class LeavingServerRegistry(private val clock: Clock) {
    private val leaving = LinkedHashMap<ServerInstance, Long>()

    /** Instances known to be shutting down, as shared with the other hosts. */
    val instances: Set<ServerInstance> get() = leaving.keys

    /** Records that [instance] is shutting down. Returns whether this was not known before. */
    fun add(instance: ServerInstance): Boolean {
        val nowMs = clock.nowMs()
        leaving.values.removeIf { nowMs - it > ENTRY_LIFETIME_MS }
        return leaving.putIfAbsent(instance, nowMs) == null
    }

    /** Returns [server], marked as leaving if its instance announced its shutdown. */
    fun withLeavingFlag(server: RegisteredServer): RegisteredServer =
        if (server.instance in leaving) server.copy(isLeaving = true) else server

    private companion object {
        // Servers stop within seconds of announcing their shutdown. Expired entries are removed to
        // bound the memory used.
        const val ENTRY_LIFETIME_MS = 600_000L
    }
}
