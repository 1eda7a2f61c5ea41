package org.hyssoprack.gateway.forwarding.slots

import assertk.assertThat
import assertk.assertions.isEqualTo
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlin.random.Random
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.gateway.forwarding.failover.PlainWireFormat
import org.hyssoprack.gateway.forwarding.failover.RecordedResponse
import org.hyssoprack.gateway.forwarding.failover.ScriptedServers
import org.hyssoprack.gateway.forwarding.parts.ForwardingHost
import org.hyssoprack.gateway.forwarding.ratelimit.SimulatedFleet
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.serving.settings.RouteKind

/** Guards against a slot owner that never learns, or learns late, how fast a server is now. */
class PassedPaceTest {
    @Example
    fun `a host passes a reported pace to the owner once, while it is current`() {
        class Case(
            val name: String,
            val kind: RouteKind,
            val paces: List<Int?>,
            val answer: suspend ScriptedServers.Response.() -> Unit
        )
        val cases = listOf(
            Case("plain", RouteKind.SAFE, listOf(140)) { head(pacePercent = 140) },
            Case("plain, no figure", RouteKind.SAFE, listOf(null)) { head() },
            Case("plain, body comes late", RouteKind.SAFE, listOf(null)) {
                head(pacePercent = 140)
                delay(400)
            },
            Case("refusal", RouteKind.SAFE, listOf(140)) { head(status = 404, pacePercent = 140) },
            Case("stream", RouteKind.STREAM, listOf(140, null)) {
                head(pacePercent = 140)
                events(last = 2)
            },
            Case("stream, first event comes late", RouteKind.STREAM, listOf(null, null)) {
                head(pacePercent = 140)
                delay(400)
                events(last = 2)
            }
        )
        for (case in cases) {
            val fleet = Fleet { case.answer(it) }
            fleet.send(case.kind)
            assertThat(fleet.paces, case.name).isEqualTo(case.paces)
        }
    }

    /** @param paces paces in the messages on requests, in their order. */
    private class Fleet(
        val paces: ArrayList<Int?> = ArrayList(),
        answer: suspend (ScriptedServers.Response) -> Unit
    ) : SimulatedFleet(Random(1), hostCount = 2, transform = { it.also { paces.record(it) } }) {
        private val address = NetworkAddress("10.0.0.2", 80)
        private val servers = ScriptedServers(scope, clock)

        init {
            servers.script(address) {
                answer(it)
                it.end()
            }
            val server = RegisteredServer(
                id = BackendServerId("b"),
                service = service,
                address = address,
                domain = FailureDomain("z"),
                slots = 1
            )
            hosts.forEach { it.pools.updateServers(listOf(server)) }
            advance(SETTLE_MS)
        }

        /** Sends a request to a host that is not the owner, and waits for its end. */
        fun send(kind: RouteKind) {
            val host = hosts.first { !it.slots.isOwner }
            val forwarder = ForwardingHost(host, clock, service, servers).forwarder
            val headers = DefaultHttpHeaders()
                .set(ScriptedServers.REQUEST_ID, "r")
                .set(PlainWireFormat.KEY, ForwardingHost.KEY)
            val request = CallerRequest(
                method = HttpMethod.POST,
                uri = "/${kind.name}/x",
                headers = headers,
                body = ByteArray(0),
                arrived = ClockReading.now(clock)
            )
            scope.launch { forwarder.handle(request, RecordedResponse()) }
            advance(SETTLE_MS)
            end()
        }
    }

    private companion object {
        const val SETTLE_MS = 3_000L

        fun ArrayList<Int?>.record(message: SlotMessage) {
            if (message is SlotMessage.PromptRead) add(message.pacePercent)
            if (message is SlotMessage.Ended) add(message.result.pacePercent)
        }
    }
}
