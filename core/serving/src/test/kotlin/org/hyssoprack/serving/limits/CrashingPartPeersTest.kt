package org.hyssoprack.serving.limits

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import assertk.assertions.isTrue
import net.jqwik.api.Example
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.PromptPartId

class CrashingPartPeersTest {
    private val part = "part"

    private class Case(
        val name: String,
        val isBlocked: Boolean,
        val events: CrashingPartFleet.() -> Unit
    )

    private val cases = listOf(
        Case("three hosts see one crash each", isBlocked = true) { crashOnHosts(1..3) },
        Case("two hosts see one crash each", isBlocked = false) { crashOnHosts(1..2) },
        Case("the part began on a host that saw no crash", isBlocked = false) {
            begin(part, host = 0)
            crashOnHosts(1..4)
        },
        Case("the part began there, and five servers crash", isBlocked = true) {
            begin(part, host = 0)
            crashOnHosts(1..4)
            crashOnHosts(1..1)
        },
        Case("the part begins on another host after each crash", isBlocked = false) {
            repeat(4) {
                crashOnHosts(1..1)
                begin(part, host = 2)
            }
        },
        Case("the part begins on another host after its block", isBlocked = false) {
            crashOnHosts(1..3)
            begin(part, host = 4)
        }
    )

    @Example
    fun `hosts without an owner judge by what all of them have seen`() {
        for (case in cases) {
            val fleet = fleet()
            case.events(fleet)
            fleet.registries.indices.forEach { host ->
                val isBlocked = fleet.verdict(part, host = host) is PartVerdict.Blocked
                assertThat(isBlocked, "${case.name}, host $host").isEqualTo(case.isBlocked)
            }
        }
    }

    @Example
    fun `a crash is told to the other hosts once`() {
        val registry = fleet().registries[1]
        registry.recordCrash(crash())
        val parts = registry.takeForPeers().crashes.map { it.parts }
        assertThat(parts).containsExactly(listOf(PromptPartId(part)))
        assertThat(registry.takeForPeers().isEmpty).isTrue()
    }

    @Example
    fun `a host that hears from an owner tells the other hosts nothing`() {
        val fleet = fleet()
        fleet.changeOwner(0)
        val registry = fleet.registries[1]
        registry.recordCrash(crash())
        assertThat(registry.takeForPeers().isEmpty).isTrue()
        fleet.changeOwner(null)
        assertThat(registry.takeForPeers().isEmpty).isFalse()
    }

    @Example
    fun `crashes that the owner before has judged are not told`() {
        val fleet = fleet()
        fleet.changeOwner(0)
        fleet.crash(part, host = 1, after = 10_000)
        fleet.changeOwner(null)
        assertThat(fleet.registries[1].takeForPeers().isEmpty).isTrue()
    }

    private fun fleet() = CrashingPartFleet(ManualClock(100_000), hosts = 5)
        .also { it.changeOwner(null) }

    private fun CrashingPartFleet.crashOnHosts(hosts: IntRange) =
        hosts.forEach { crash(part, host = it) }

    private fun crash() = with(CrashingPartFleet(ManualClock(0), hosts = 1)) {
        PartCrash(service, newServer(), version, CrashingPartFleet.ids(listOf(part)))
    }
}
