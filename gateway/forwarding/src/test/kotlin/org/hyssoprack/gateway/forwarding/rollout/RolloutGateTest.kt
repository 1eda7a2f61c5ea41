package org.hyssoprack.gateway.forwarding.rollout

import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.ServiceId
import org.hyssoprack.rollout.RolloutBounds
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow

class RolloutGateTest {
    private val clock = ManualClock(100_000)
    private val service = ServiceId("s")
    private val servers = listOf("v1", "v2", "v3").map(::server)

    /** One host that decides nothing; [read] brings rows of the tables "op" and "status". */
    private inner class Host(bounds: RolloutBounds? = RolloutBounds(0.1, 50.0)) {
        private val view = RolloutView(PlainRows, clock, NoOpEventLog)
        private val gate = RolloutGate(view, bounds, { null }, clock) { GRACE_MS }

        fun servers(vararg versions: String) =
            gate.update(servers.filter { it.version in versions })

        fun read(order: String? = null, status: String? = null, isLive: Boolean = true) {
            for ((sink, text) in listOf(view.orderSink to order, view.statusSink to status)) {
                val rows = listOfNotNull(text?.let { FeedRow("s", it) })
                if (isLive) sink.change(rows) else sink.replace(rows)
                sink.confirm(ClockReading.now(clock))
            }
        }

        /** Versions that this host uses without an owner. */
        val used: List<String?>
            get() = gate.allowed(servers.map { ServerState(it, clock, null) }, byOwner = false)
                .map { it.server.version }

        fun usesGranted(version: String) =
            gate.mayUseGranted(servers.first { it.version == version })
    }

    @Example
    fun `a host without an owner uses the versions that orders and states permit`() {
        class Case(val name: String, val used: String, val prepare: Host.() -> Unit)
        val cases = listOf(
            Case("no order", "v1 v2 v3") { read() },
            Case("order", "v1 v3") { read(order = "v2 9000") },
            Case("success", "v2") {
                read(order = "v2 9000")
                read(status = "SUCCEEDED v2")
            },
            Case("roll-back", "v1 v3") {
                read(order = "v2 9000")
                read(status = "ROLLED_BACK v2")
            },
            Case("old news after a success", "v2") {
                read(order = "v2 9000")
                read(status = "SUCCEEDED v2")
                read(order = "v2 9000", status = "RUNNING v2", isLive = false)
            },
            Case("second order after a roll-back", "v1") {
                read(order = "v2 9000")
                read(status = "ROLLED_BACK v2")
                read(order = "v3 9000")
            },
            Case("same order again after a roll-back", "v1 v3") {
                read(order = "v2 9000")
                read(status = "ROLLED_BACK v2")
                read(order = "v2 9000")
                read(status = "RUNNING v2")
            },
            Case("unreadable order", "v1 v3") {
                read(order = "v2 9000")
                read(order = "v3 soon")
            },
            Case("host started after a success", "v2") {
                read(order = "v2 9000", status = "SUCCEEDED v2", isLive = false)
            },
            Case("order gone after a success", "v2") { read(status = "SUCCEEDED v2") }
        )
        for (case in cases) {
            val host = Host().apply(case.prepare)
            assertThat(host.used.joinToString(" "), case.name).isEqualTo(case.used)
            val plain = Host(bounds = null).apply(case.prepare)
            assertThat(plain.used.joinToString(" "), case.name).isEqualTo("v1 v2 v3")
        }
    }

    @Example
    fun `a grant of the new version is not used with old news, nor after a roll-back`() {
        val host = Host()
        host.read(order = "v2 9000", status = "RUNNING v2")
        assertThat(host.usesGranted("v2")).isEqualTo(true)
        clock.advance(4_000)
        assertThat(host.usesGranted("v2")).isEqualTo(false)
        assertThat(host.usesGranted("v1")).isEqualTo(true)
        host.read(status = "ROLLED_BACK v2")
        assertThat(host.usesGranted("v2")).isEqualTo(false)
    }

    /**
     * Guards against requests to a version whose order is on its way, and against capacity that is
     * missing when servers are replaced by newer ones without an order.
     */
    @Example
    fun `a version whose servers appear without an order is held back for a second`() {
        val host = Host()
        host.servers("v1")
        clock.advance(GRACE_MS)
        host.servers("v1", "v2")
        assertThat(host.used).isEqualTo(listOf<String?>("v1"))
        clock.advance(999)
        host.servers("v1", "v2")
        assertThat(host.used).isEqualTo(listOf<String?>("v1"))
        clock.advance(1)
        assertThat(host.used).isEqualTo(listOf<String?>("v1", "v2"))
        host.servers("v3")
        assertThat(host.used).isEqualTo(listOf<String?>("v1", "v2", "v3"))
    }

    private fun server(version: String) = RegisteredServer(
        id = BackendServerId(version),
        service = service,
        address = NetworkAddress("10.0.0.1", 80),
        domain = FailureDomain("z"),
        slots = 1,
        version = version
    )

    private companion object {
        const val GRACE_MS = 3_000L
    }
}
