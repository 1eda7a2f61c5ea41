package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import arrow.core.right
import assertk.assertThat
import assertk.assertions.containsExactlyInAnyOrder
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.fleet.ServerRegistry
import org.hyssoprack.store.FeedRow

class ServerSinkTest {
    private val registry = ServerRegistry(
        clock = ManualClock(),
        lapseGraceMs = { 0 },
        entryLifetimeMs = { 1_000 }
    )
    private val sink = ServerSink(registry, ::decode, NoOpEventLog) {}

    @Example
    fun `a row that makes its decoder fail keeps no other row from being applied`() {
        val faults = listOf("throws", "overflows")
        for (fault in faults) {
            sink.replace(listOf(FeedRow("a", "good"), FeedRow("x", fault), FeedRow("b", "good")))
            assertThat(ids(), fault).containsExactlyInAnyOrder("a", "b")
            sink.change(listOf(FeedRow("y", fault), FeedRow("c", "good")))
            assertThat(ids(), fault).containsExactlyInAnyOrder("a", "b", "c")
        }
    }

    private fun ids() = registry.all.map { it.id.value }

    private fun decode(id: String, text: String): Either<Failure, RegisteredServer> = when (text) {
        "throws" -> error("a fault of the decoder")
        "overflows" -> recurse(0).let { decode(id, "$it") }
        else -> RegisteredServer(
            id = BackendServerId(id),
            service = ServiceId("s"),
            address = NetworkAddress("127.0.0.1", 1),
            domain = FailureDomain("z"),
            slots = 1,
            isLeaving = false
        ).right()
    }

    private fun recurse(depth: Int): Int = if (depth < 0) 0 else 1 + recurse(depth + 1)
}
