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
    private val book = ServerRegistry(clock, lapseGraceMs = { 2_000 })

    private fun server(id: String) = RegisteredServer(
        id = BackendServerId(id),
        service = ServiceId("s"),
        address = NetworkAddress("10.0.0.1", 80),
        domain = FailureDomain("d"),
        slots = 4
    )

    private fun ids() = book.all.map { it.id.value }

    @Example
    fun `an entry that is removed is gone at once`() {
        book.put(server("a"))
        book.put(server("b"))
        book.remove(BackendServerId("a"))
        assertThat(ids()).containsExactlyInAnyOrder("b")
    }

    @Example
    fun `entries that lapsed while the store was away stay until they had time to come back`() {
        listOf("a", "b", "c").forEach { book.put(server(it)) }
        book.storeRecovered()
        book.replaceAll(listOf(server("a")))
        assertThat(ids()).containsExactlyInAnyOrder("a", "b", "c")
        clock.advance(1_000)
        book.put(server("b"))
        clock.advance(1_000)
        book.dropLapsed()
        assertThat(ids()).containsExactlyInAnyOrder("a", "b")
    }

    @Example
    fun `a list that is read again without an outage replaces the old one`() {
        book.put(server("a"))
        book.replaceAll(listOf(server("b")))
        assertThat(ids()).containsExactlyInAnyOrder("b")
    }
}
