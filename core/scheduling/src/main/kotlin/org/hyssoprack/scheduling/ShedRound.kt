package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** Sends shed checks for requests of [kind] to the owners of servers and collects the verdicts. */
internal class ShedRound(private val kind: SlotKind, private val settings: SchedulingSettings) {
    private val sentAtMs = HashMap<BackendServerId, Long>()
    private val verdicts = HashMap<BackendServerId, SlotMessage.ShedVerdict>()

    /** Returns the checks that are due for [servers], with a minimum interval for each server. */
    fun checks(nowMs: Long, servers: List<FleetServer>, binding: Boolean): List<EntryOutput.Send> {
        val bindingMs = settings.verdictTermMs / CHECKS_PER_TERM
        val repeatMs = if (binding) bindingMs else settings.messageRepeatMs
        val due = servers.filter { nowMs - (sentAtMs[it.id] ?: NEVER_MS) >= repeatMs }
        return due.map {
            sentAtMs[it.id] = nowMs
            EntryOutput.Send(to = it.owner, message = check(nowMs, it, binding))
        }
    }

    private fun check(nowMs: Long, server: FleetServer, binding: Boolean) = SlotMessage.ShedCheck(
        server = server.id,
        tier = kind.tier,
        long = kind.long,
        sentAtMs = nowMs,
        binding = binding
    )

    fun receive(message: SlotMessage.ShedVerdict) {
        val previous = verdicts[message.server]
        if (previous != null && previous.checkedAtMs > message.checkedAtMs) return
        verdicts[message.server] = message
    }

    /** Returns true while valid verdicts state that no lower tier holds a slot of [servers]. */
    fun allowsShedding(nowMs: Long, servers: List<FleetServer>): Boolean = servers.all {
        val verdict = verdicts[it.id]
        verdict != null &&
            verdict.lowerTierSlots == 0 &&
            nowMs < verdict.checkedAtMs + verdict.termMs
    }

    private companion object {
        const val CHECKS_PER_TERM = 3
        const val NEVER_MS = Long.MIN_VALUE / 2
    }
}
