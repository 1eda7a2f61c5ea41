package org.hyssoprack.serving.fleet

import assertk.assertThat
import assertk.assertions.containsExactlyInAnyOrder
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ServiceId

class ServerRegistryTest {
    private val clock = ManualClock(10_000)
    private val registry = ServerRegistry(clock, lapseGraceMs = { 2_000 })

    private fun server(id: String) = RegisteredServer(
        id = BackendServerId(id),
        service = ServiceId("s"),
        address = NetworkAddress("10.0.0.1", 80),
        domain = FailureDomain("d"),
        slots = 4
    )

    private fun ids() = registry.all.map { it.id.value }

    @Example
    fun `a removed entry is dropped immediately`() {
        registry.put(server("a"))
        registry.put(server("b"))
        registry.remove(BackendServerId("a"))
        assertThat(ids()).containsExactlyInAnyOrder("b")
    }

    @Example
    fun `entries that lapsed during a store outage stay until the grace period ends`() {
        listOf("a", "b", "c").forEach { registry.put(server(it)) }
        registry.storeRecovered()
        registry.replaceAll(listOf(server("a")))
        assertThat(ids()).containsExactlyInAnyOrder("a", "b", "c")
        clock.advance(1_000)
        registry.put(server("b"))
        clock.advance(1_000)
        registry.dropLapsed()
        assertThat(ids()).containsExactlyInAnyOrder("a", "b")
    }

    @Example
    fun `a list that is read again without an outage replaces the old one`() {
        registry.put(server("a"))
        registry.replaceAll(listOf(server("b")))
        assertThat(ids()).containsExactlyInAnyOrder("b")
    }
}
