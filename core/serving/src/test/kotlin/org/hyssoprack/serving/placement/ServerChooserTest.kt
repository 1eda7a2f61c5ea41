package org.hyssoprack.serving.placement

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isIn
import assertk.assertions.isNull
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.RegisteredServer

class ServerChooserTest {
    private val clock = ManualClock(1_000)
    private val chooser = ServerChooser(FailureDomain("d0"), Random(7))
    private val letter = Work(promptTokens = 6_000, outputTokens = 400)

    private fun state(
        id: String,
        slots: Int = 2,
        leaving: Boolean = false,
        memory: Long = 10_000
    ) = ServerState(
        server = RegisteredServer(
            id = BackendServerId(id),
            service = ServiceId("s"),
            address = NetworkAddress("10.0.0.1", 80),
            domain = FailureDomain("d0"),
            slots = slots,
            isLeaving = leaving
        ),
        clock = clock,
        memoryTokens = memory
    )

    private fun choose(vararg states: ServerState) =
        chooser.choose(states.toList(), letter)?.server?.id?.value

    @Example
    fun `the server that is expected to answer first is chosen`() {
        val slow = state("slow", memory = 50_000).also { s -> repeat(5) { s.prefillMs.add(0.06) } }
        val fast = state("fast", memory = 50_000).also { s -> repeat(5) { s.prefillMs.add(0.01) } }
        assertThat(choose(slow, fast)).isEqualTo("fast")
        fast.dispatched(Work(promptTokens = 3_000))
        assertThat(choose(slow, fast)).isEqualTo("fast")
    }

    @Example
    fun `servers without room, and those that leave, get nothing`() {
        val full = state("full", slots = 1).also { it.dispatched(Work()) }
        val filled = state("filled").also { it.dispatched(Work(outputTokens = 4_000)) }
        val leaving = state("leaving", leaving = true)
        assertThat(choose(full, filled, leaving)).isNull()
        assertThat(choose(full, filled, leaving, state("free"))).isEqualTo("free")
    }

    @Example
    fun `the load of other hosts counts`() {
        val busy = state("busy").also { it.setPeers(PeerLoad(running = 2)) }
        assertThat(choose(busy)).isNull()
    }

    @Example
    fun `a server that is silent or fails goes last until it answers`() {
        val silent = state("silent").also { it.dispatched(Work()) }
        clock.advance(1_000)
        val sound = state("sound")
        assertThat(choose(silent, sound)).isEqualTo("sound")
        silent.heard()
        silent.ended(Work(), promptRead = true)
        assertThat(choose(silent, sound)).isIn("silent", "sound")
        repeat(3) { sound.failed() }
        assertThat(choose(silent, sound)).isEqualTo("silent")
        assertThat(choose(sound)).isEqualTo("sound")
    }
}
