package org.hyssoprack.serving.fleet

import org.hyssoprack.common.Clock

/**
 * Runs of backend servers that have said in an answer that they leave. The store may say so later,
 * never, or list the run again as ready; what the server itself has said goes before.
 */
class LeavingServerRegistry(private val clock: Clock) {
    private val leaving = LinkedHashMap<ServerInstance, Long>()

    /** The runs known to leave, for the other hosts. */
    val runs: Set<ServerInstance> get() = leaving.keys

    /** Takes in that [run] leaves. Returns whether this is news. */
    fun add(run: ServerInstance): Boolean {
        val nowMs = clock.nowMs()
        leaving.values.removeIf { nowMs - it > MEMORY_MS }
        return leaving.putIfAbsent(run, nowMs) == null
    }

    /** [server] as it is to be used: marked as leaving if its run has said so. */
    fun marked(server: RegisteredServer): RegisteredServer =
        if (server.run in leaving) server.copy(isLeaving = true) else server

    private companion object {
        // Servers end seconds after they have said that they leave; bounds the memory used.
        const val MEMORY_MS = 600_000L
    }
}
