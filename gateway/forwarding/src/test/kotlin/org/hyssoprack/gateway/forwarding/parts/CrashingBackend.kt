package org.hyssoprack.gateway.forwarding.parts

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.failover.ScriptedServers
import org.hyssoprack.serving.fleet.RegisteredServer

/** A backend server at [address] that comes back as another instance after each crash. */
internal class CrashingBackend(val address: NetworkAddress) {
    private val responses = LinkedHashSet<ScriptedServers.Response>()

    /** Number of crashes so far. */
    var crashes = 0
        private set

    /** The store's entry of the running instance, or of the last one. */
    fun registered(service: ServiceId) = RegisteredServer(
        id = BackendServerId("b${address.port}-$crashes"),
        service = service,
        address = address,
        domain = FailureDomain("z"),
        slots = SLOTS,
        bornMs = crashes.toLong(),
        version = "v1"
    )

    fun began(response: ScriptedServers.Response) {
        responses += response
    }

    fun ended(response: ScriptedServers.Response) {
        responses -= response
    }

    /** Returns whether [response] is in progress; it is not after a crash. */
    fun isServing(response: ScriptedServers.Response): Boolean = response in responses

    /** Breaks off all responses. */
    fun crash() {
        crashes++
        val broken = responses.toList()
        responses.clear()
        broken.forEach { it.lose() }
    }

    private companion object {
        const val SLOTS = 8
    }
}
