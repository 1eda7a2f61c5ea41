package org.hyssoprack.gateway.forwarding.parts

import kotlin.random.Random
import org.hyssoprack.gateway.forwarding.slots.SlotMessage
import org.hyssoprack.membership.MemberState
import org.hyssoprack.serving.settings.RouteKind

/** What happens on a [PartFleet] while deadly requests come. */
internal class FleetCase(
    val name: String,
    private val isRepeating: Boolean = false,
    private val transform: () -> (SlotMessage) -> SlotMessage? = { { it } },
    private val event: PartFleet.() -> Unit = { sendDeadly(AFTER_MS) }
) {
    fun play(seed: Int, gapMs: Long, isSameRequest: Boolean = false): PartFleet {
        val fleet = fleet(seed, gapMs, isSameRequest)
        event(fleet)
        fleet.advance(END_MS)
        fleet.end()
        return fleet
    }

    /** Returns a fleet to which deadly requests can be sent. */
    fun fleet(seed: Int, gapMs: Long, isSameRequest: Boolean = false): PartFleet {
        val fleet = PartFleet(seed, gapMs, isRepeating, isSameRequest, transform())
        fleet.advance(START_MS)
        fleet.isDeadly = true
        return fleet
    }

    companion object {
        const val END_MS = 3_000L
        private const val START_MS = 3_000L

        // At most two deadly requests have been sent, each to several servers.
        private const val MID_COUNT_MS = 800L
        private const val DETECTION_MS = 1_500L

        // The first trial, 30 s after the block, is within this time.
        const val AFTER_MS = 40_000L

        val ALL = listOf(
            FleetCase("nothing else happens"),
            FleetCase("five crashes are seen by five hosts") {
                sendDeadly(AFTER_MS, RouteKind.STREAM)
            },
            FleetCase("the owner leaves") {
                sendDeadly(MID_COUNT_MS)
                setState(owner(), MemberState.LEAVING)
                sendDeadly(AFTER_MS)
            },
            FleetCase("the owner is killed in mid-count") {
                sendDeadly(MID_COUNT_MS)
                val owner = owner()
                kill(owner)
                sendDeadly(DETECTION_MS)
                setState(owner, MemberState.DEAD)
                sendDeadly(AFTER_MS)
            },
            FleetCase("the owner is cut off from the other hosts") {
                sendDeadly(MID_COUNT_MS)
                val owner = owner()
                owner.isCutOff = true
                sendDeadly(DETECTION_MS)
                setState(owner, MemberState.DEAD)
                sendDeadly(AFTER_MS)
            },
            FleetCase("a host is cut off from the other hosts") {
                sendDeadly(MID_COUNT_MS)
                val host = hosts.first { !it.slots.isOwner }
                host.isCutOff = true
                sendDeadly(DETECTION_MS)
                setState(host, MemberState.DEAD)
                sendDeadly(AFTER_MS)
            },
            FleetCase("one message in ten is lost", transform = { losing(share = 0.1) }),
            FleetCase("callers come back at once", isRepeating = true)
        )

        private fun losing(share: Double): (SlotMessage) -> SlotMessage? {
            val random = Random(1)
            return { it.takeIf { random.nextDouble() >= share } }
        }
    }
}
