package org.hyssoprack.serving.fleet

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEqualTo
import assertk.assertions.isNull
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog

class ServerLimitRegistryTest {
    private val clock = ManualClock(100_000)
    private val registry = ServerLimitRegistry(clock, NoOpEventLog)
    private val server = instance(bornMs = 1)
    private val owner = HostId("owner")
    private val peer = HostId("peer")

    private class Case(
        val name: String,
        val perS: Double?,
        val events: ServerLimitRegistryTest.() -> Unit
    )

    @Example
    fun `the last response decides, in whichever order the news arrives`() {
        val cases = listOf(
            Case("named", 2.0) { named(2.0) },
            Case("named again with another value", 3.0) {
                named(2.0)
                named(3.0)
            },
            Case("a request sent later gets no limit", null) {
                named(2.0)
                registry.recordUnlimited(server, sentMs = clock.nowMs())
            },
            Case("a request sent earlier gets no limit", 2.0) {
                val sentMs = clock.nowMs()
                named(2.0)
                registry.recordUnlimited(server, sentMs)
            },
            Case("named again after the end", 4.0) {
                named(2.0)
                registry.recordUnlimited(server, sentMs = clock.nowMs())
                clock.advance(10)
                named(4.0)
            },
            Case("a peer reports an older naming after the end", null) {
                named(2.0)
                registry.recordUnlimited(server, sentMs = clock.nowMs())
                clock.advance(500)
                reported(2.0, ageMs = 505)
            },
            Case("a peer reports an older value", 3.0) {
                named(3.0)
                reported(2.0, ageMs = 500)
            },
            Case("a peer reports a newer value", 2.0) {
                named(3.0)
                clock.advance(500)
                reported(2.0, ageMs = 100)
            },
            Case("a peer's request was sent before another peer's naming", 2.0) {
                val sentMs = clock.nowMs()
                clock.advance(100)
                reported(2.0, ageMs = 0)
                registry.recordUnlimited(server, sentMs, peer)
            },
            Case("another process of the server named it", null) {
                registry.recordNamed(instance(bornMs = 0), 2.0)
            }
        )
        for (case in cases) {
            registry.forgetAll()
            case.events(this)
            assertThat(registry[server]?.perS, case.name).isEqualTo(case.perS)
        }
    }

    @Example
    fun `a limit that the owner drops ends, unless it was named here since`() {
        named(2.0)
        registry.confirm(registry.all(), owner)
        clock.advance(1_000)
        registry.confirm(emptyList(), owner)
        assertThat(registry[server]).isNull()

        clock.advance(1_000)
        named(2.0)
        registry.confirm(registry.all(), owner)
        clock.advance(1_000)
        named(2.0)
        registry.confirm(emptyList(), owner)
        assertThat(registry[server]?.perS).isEqualTo(2.0)
        assertThat(registry.isConfirmed(server)).isEqualTo(false)
    }

    @Example
    fun `a limit that the owner has not confirmed is reported until it has`() {
        named(2.0)
        assertThat(registry.hasNews).isEqualTo(true)
        repeat(2) {
            assertThat(registry.takeUnreported().map { it.perS }).containsExactly(2.0)
            assertThat(registry.hasNews).isEqualTo(false)
        }
        registry.confirm(registry.all(), owner)
        assertThat(registry.takeUnreported()).isEqualTo(emptyList())
        registry.ownerChanged()
        assertThat(registry.takeUnreported().map { it.perS }).containsExactly(2.0)
    }

    @Example
    fun `a limit outlives a short absence of its server from the store`() {
        named(2.0)
        registry.forgetOthers(emptySet())
        assertThat(registry[server]?.perS).isEqualTo(2.0)
        clock.advance(600_000)
        registry.forgetOthers(setOf(server))
        assertThat(registry[server]?.perS).isEqualTo(2.0)
        registry.forgetOthers(emptySet())
        assertThat(registry.isEmpty).isEqualTo(true)
    }

    private fun named(perS: Double) {
        registry.recordNamed(server, perS)
        clock.advance(10)
    }

    private fun reported(perS: Double, ageMs: Long) {
        registry.recordNamed(ServerLimit(server, perS, ageMs), peer)
    }

    private fun ServerLimitRegistry.forgetAll() {
        clock.advance(600_000)
        forgetOthers(emptySet())
    }

    private fun instance(bornMs: Long) =
        ServerInstance(BackendServerId("b"), NetworkAddress("10.0.0.1", 80), bornMs)
}
