package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** What an entry host knows of the speed and load of the backend servers. */
internal class ServerSpeeds {
    private val digests = HashMap<BackendServerId, ServerDigest>()

    fun digest(nowMs: Long, server: BackendServerId, digest: ServerDigest) {
        digests[server] = digest
    }

    fun measured(nowMs: Long, server: FleetServer, report: FinishReport) = Unit

    fun meanHoldMs(kind: SlotKind): Double = 1_000.0

    fun takeSample(server: BackendServerId): ServerSample? = null

    fun retain(servers: Set<BackendServerId>) {
        digests.keys.retainAll(servers)
    }
}
