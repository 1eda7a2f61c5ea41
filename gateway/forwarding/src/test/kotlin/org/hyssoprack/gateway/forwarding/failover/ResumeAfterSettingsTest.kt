package org.hyssoprack.gateway.forwarding.failover

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isTrue
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import net.jqwik.api.Example
import org.hyssoprack.serving.settings.RouteKind

class ResumeAfterSettingsTest {
    @Example
    fun `a started stream is resumed where it began although newer settings refuse its like`() {
        class Change(val name: String, val apply: (ForwardingFixture) -> Unit)
        class Break(val name: String, val isLost: Boolean, val events: Int = 2)
        val changes = listOf(
            Change("the key is gone") { it.accept(version = 2, isKeyKnown = false) },
            Change("the route is gone") { it.accept(version = 2, hasRoutes = false) },
            Change("the route leads to a service without servers") {
                it.accept(version = 2, service = "empty")
            },
            Change("the settings are too old") { it.expireSettings() }
        )
        val breaks = listOf(
            Break("silent", isLost = false),
            Break("broken off", isLost = true),
            Break("broken off after the head", isLost = true, events = 0)
        )
        for (change in changes) {
            for (end in breaks) {
                runTest {
                    val name = "${change.name}, ${end.name}"
                    val host = ForwardingFixture(this, serverCount = 3)
                    host.scriptAll { exchange, response ->
                        response.head()
                        response.events(last = if (exchange == 0) end.events else 4)
                        if (exchange == 0) delay(100)
                        if (exchange == 0 && end.isLost) response.lose()
                        if (exchange == 0) delay(SILENT_MS)
                        response.end()
                    }
                    val (response, _) = host.send(RouteKind.RESUMABLE_STREAM)
                    delay(70)
                    change.apply(host)
                    delay(8_000)
                    assertThat(response.events, name).isEqualTo(listOf(1, 2, 3, 4))
                    assertThat(response.isComplete, name).isTrue()
                    assertThat(host.servers.exchanges.size, name).isEqualTo(2)
                }
            }
        }
    }

    @Example
    fun `a request whose response has not begun follows the newer settings`() = runTest {
        val host = ForwardingFixture(this, serverCount = 3)
        host.scriptAll { _, response ->
            delay(200)
            response.lose()
        }
        val (response, _) = host.send(RouteKind.SAFE)
        delay(70)
        host.accept(version = 2, isKeyKnown = false)
        delay(3_000)
        assertThat(response.status).isEqualTo(502)
        assertThat(host.servers.exchanges.size).isEqualTo(1)
    }

    private companion object {
        /** Longer than the deadline of the requests. */
        const val SILENT_MS = 60_000L
    }
}
