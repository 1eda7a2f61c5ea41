package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.RequestId

/** Collects the owners' verdicts on shedding requests of [kind]. */
internal class ShedRound(private val kind: SlotKind, private val settings: SchedulingSettings) {
    private val sentAtMs = HashMap<BackendServerId, Long>()
    private val verdicts = HashMap<BackendServerId, Verdict>()

    /** Checks to send to [servers], whose verdicts are missing or about to lapse. */
    fun checks(
        nowMs: Long,
        servers: List<FleetServer>,
        requestId: RequestId
    ): List<EntryOutput.Send> {
        val due = servers.filter { isDue(nowMs, it.id) }
        return due.map {
            sentAtMs[it.id] = nowMs
            val check = SlotMessage.ShedCheck(
                server = it.id,
                requestId = requestId,
                tier = kind.tier,
                long = kind.long,
                sentAtMs = nowMs
            )
            EntryOutput.Send(to = it.owner, message = check)
        }
    }

    private fun isDue(nowMs: Long, server: BackendServerId): Boolean {
        val repeatMs = settings.verdictTermMs / CHECKS_PER_TERM
        return nowMs - (sentAtMs[server] ?: return true) >= repeatMs
    }

    fun receive(message: SlotMessage.ShedVerdict) {
        val known = verdicts[message.server]
        if (known != null && known.checkedAtMs > message.checkedAtMs) return
        verdicts[message.server] = Verdict(
            checkedAtMs = message.checkedAtMs,
            lapsesAtMs = message.checkedAtMs + message.termMs,
            lowerTierHoldsSlot = message.lowerTierHoldsSlot
        )
    }

    /** True if every owner of [servers] says that no lower tier holds a slot there. */
    fun allowsShedding(nowMs: Long, servers: List<FleetServer>): Boolean = servers.all {
        val verdict = verdicts[it.id]
        verdict != null && nowMs < verdict.lapsesAtMs && !verdict.lowerTierHoldsSlot
    }

    /** True if the owner of each of [servers] has answered and the answer still holds. */
    fun isAnswered(nowMs: Long, servers: List<FleetServer>): Boolean =
        servers.all { nowMs < (verdicts[it.id]?.lapsesAtMs ?: return false) }

    /** Servers on which a lower tier holds a slot, as far as known. */
    fun lowerTierServers(): Set<BackendServerId> =
        verdicts.filterValues { it.lowerTierHoldsSlot }.keys

    private data class Verdict(
        val checkedAtMs: Long,
        val lapsesAtMs: Long,
        val lowerTierHoldsSlot: Boolean
    )

    private companion object {
        const val CHECKS_PER_TERM = 3
    }
}
