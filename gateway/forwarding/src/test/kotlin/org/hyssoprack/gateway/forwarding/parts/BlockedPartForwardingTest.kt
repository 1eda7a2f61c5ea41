package org.hyssoprack.gateway.forwarding.parts

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isNull
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.failover.ForwardingFixture
import org.hyssoprack.gateway.forwarding.failover.ScriptedServers
import org.hyssoprack.serving.fleet.ServerInstance
import org.hyssoprack.serving.limits.PartCrash
import org.hyssoprack.serving.settings.RouteKind

/** Which responses a host counts as crashes, and what it sends once a part is blocked. */
class BlockedPartForwardingTest {
    @Example
    fun `a request that is granted a slot after its part was blocked is not sent`() = runTest {
        for (kind in RouteKind.entries) {
            val host = ForwardingFixture(this, serverCount = 1)
            host.scriptAll { _, response ->
                response.head()
                response.events(last = 1)
                response.end()
            }
            host.occupyFreeSlots(forMs = 300)
            val (deadly, _) = host.send(kind, "first", "deadly")
            val (sound, _) = host.send(kind, "first", "sound")
            delay(100)
            assertThat(deadly.status, "waiting, $kind").isNull()
            block(host)
            delay(1_000)
            assertThat(deadly.status, "deadly, $kind").isEqualTo(503)
            assertThat(sound.status, "sound, $kind").isEqualTo(200)
            assertThat(host.servers.exchanges.size, "sent, $kind").isEqualTo(1)
            assertThat(host.usedSlots, "slots, $kind").isEqualTo(0)
        }
    }

    @Example
    fun `only the end of a connection before the first event is a crash`() {
        class Case(
            val name: String,
            val isCrash: Boolean,
            val script: suspend (ScriptedServers.Response) -> Unit
        )
        val cases = listOf(
            Case("ends without a head", isCrash = true) { it.lose() },
            Case("ends after the head", isCrash = true) {
                it.head()
                it.lose()
            },
            Case("ends in the first event", isCrash = true) {
                it.head()
                it.bytes("id: 1\n")
                it.lose()
            },
            Case("ends after the first event", isCrash = false) {
                it.head()
                it.event(1)
                it.lose()
            },
            Case("answers with a failure", isCrash = false) {
                it.head(status = 500)
                it.end()
            },
            Case("stays silent", isCrash = false) { delay(SILENT_MS) },
            Case("sends a second head", isCrash = false) {
                it.head()
                it.head()
            }
        )
        for (case in cases) {
            runTest {
                val host = ForwardingFixture(this, serverCount = 1)
                host.scriptAll { _, response ->
                    delay(50)
                    case.script(response)
                }
                host.send(RouteKind.STREAM, "first", "deadly")
                delay(ForwardingFixture.TIMEOUT_MS + 1_000)
                assertThat(host.parts.hasNews, case.name).isEqualTo(case.isCrash)
                // Two parts of the prompt and the request's own part.
                assertThat(host.parts.size, case.name).isEqualTo(if (case.isCrash) 3 else 0)
            }
        }
    }

    @Example
    fun `a connection that ends on a request without parts speaks against that request`() =
        runTest {
            val host = ForwardingFixture(this, serverCount = 1)
            host.scriptAll { _, response -> response.lose() }
            host.send(RouteKind.STREAM)
            delay(1_000)
            assertThat(host.servers.exchanges.size).isEqualTo(1)
            assertThat(host.parts.records().map { it.part.isOwnPart }).isEqualTo(listOf(true))
        }

    private fun block(host: ForwardingFixture) {
        val service = ServiceId("s")
        host.parts.recordBegun(service, version = null, listOf(PromptPartId("first")))
        repeat(CRASHES) {
            val instance = ServerInstance(
                id = BackendServerId("gone"),
                address = NetworkAddress("10.0.0.2", 80),
                bornMs = it.toLong()
            )
            host.parts.recordCrash(
                PartCrash(
                    service = service,
                    server = instance,
                    parts = listOf(PromptPartId("first"), PromptPartId("deadly")),
                    ageMs = (CRASHES - it) * GAP_MS
                )
            )
        }
    }

    private companion object {
        const val CRASHES = 3
        const val GAP_MS = 400L
        const val SILENT_MS = 60_000L
    }
}
