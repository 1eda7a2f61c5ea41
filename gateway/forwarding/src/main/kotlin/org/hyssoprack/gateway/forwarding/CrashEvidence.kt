package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.PromptPartId
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.limits.CrashingPartRegistry
import org.hyssoprack.serving.limits.PartCrash

/** Tells the [registry] what one request shows about the parts that may crash servers. */
internal class CrashEvidence(
    private val registry: CrashingPartRegistry,
    private val request: CallerRequest,
    private val call: AdmittedRequest,
    private val progress: RequestProgress
) {
    /** Records that [server] began its response. */
    fun recordBegun(server: RegisteredServer) =
        registry.recordBegun(server.service, server.version, begunParts())

    /** Records that the connection to [server] ended before its response began. */
    fun recordCrash(server: RegisteredServer) {
        val suspects = call.metadata.sharedParts + progress.ownPart
        registry.recordCrash(PartCrash(server.service, server.instance, server.version, suspects))
    }

    // Requests with small bodies, such as status queries, are alike without being repeats. That
    // they began before tells them from one that crashes servers.
    private fun begunParts(): List<PromptPartId> {
        val isOwnPartNeeded = registry.size > 0 || request.body.size <= SMALL_BODY_BYTES
        val shared = call.metadata.sharedParts
        return if (isOwnPartNeeded) shared + progress.ownPart else shared
    }

    private companion object {
        const val SMALL_BODY_BYTES = 1_024
    }
}
