package org.hyssoprack.serving.fleet

import assertk.assertThat
import assertk.assertions.containsExactlyInAnyOrder
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ServiceId

class ServerRegistryTest {
    private val clock = ManualClock(10_000)
    private var registry = ServerRegistry(clock, lapseGraceMs = { 2_000 })

    private fun server(id: String, born: Long? = null, isLeaving: Boolean = false) =
        RegisteredServer(
            isLeaving = isLeaving,
            bornMs = born,
            id = BackendServerId(id),
            service = ServiceId("s"),
            address = NetworkAddress("10.0.0.1", 80),
            domain = FailureDomain("d"),
            slots = 4
        )

    private fun usable() = registry.all.filter { !it.isLeaving }.map { "${it.id}@${it.bornMs}" }

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
        registry.applyDue()
        assertThat(ids()).containsExactlyInAnyOrder("a", "b")
    }

    @Example
    fun `what a restored store lists does not undo what is known of its servers`() {
        class Case(
            val name: String,
            val known: RegisteredServer?,
            val wasGone: RegisteredServer? = null,
            val listed: RegisteredServer?,
            val atOnce: List<String>,
            val later: List<String>
        )
        val old = server("a", born = 1)
        val new = server("a", born = 2)
        val cases = listOf(
            Case("unchanged", old, null, old, listOf("a@1"), listOf("a@1")),
            Case("leaves", server("a", 1, isLeaving = true), null, old, listOf(), listOf()),
            Case("unknown", null, null, old, listOf("a@1"), listOf("a@1")),
            Case("gone, and listed for good", null, old, old, listOf(), listOf("a@1")),
            Case("restarted before, not again", new, null, old, listOf("a@2"), listOf()),
            Case("restarted since", old, null, new, listOf("a@2"), listOf("a@2")),
            Case("not in the copy", new, null, null, listOf("a@2"), listOf())
        )
        for (case in cases) {
            registry = ServerRegistry(clock, lapseGraceMs = { 2_000 })
            case.wasGone?.let { registry.put(it) }
            case.wasGone?.let { registry.remove(it.id) }
            case.known?.let { registry.put(it) }
            registry.storeRestored()
            registry.storeRecovered()
            registry.replaceAll(listOfNotNull(case.listed))
            assertThat(usable(), case.name).isEqualTo(case.atOnce)
            clock.advance(5_000)
            registry.applyDue()
            assertThat(usable(), case.name).isEqualTo(case.later)
        }
    }

    @Example
    fun `a server that was gone is used again when it writes after a restore`() {
        val server = server("a", born = 1)
        registry.put(server)
        registry.remove(server.id)
        registry.storeRestored()
        registry.replaceAll(listOf(server))
        assertThat(usable()).isEqualTo(emptyList())
        registry.put(server)
        assertThat(usable()).isEqualTo(listOf("a@1"))
    }

    @Example
    fun `a list that is read again without an outage replaces the old one`() {
        registry.put(server("a"))
        registry.replaceAll(listOf(server("b")))
        assertThat(ids()).containsExactlyInAnyOrder("b")
    }
}
