package org.hyssoprack.scheduling

/** One [ShedRound] for each kind of request that may have to be shed. */
internal class ShedRounds(private val settings: SchedulingSettings) {
    private val rounds = HashMap<SlotKind, ShedRound>()

    fun checks(
        nowMs: Long,
        kind: SlotKind,
        servers: List<FleetServer>,
        binding: Boolean
    ): List<EntryOutput.Send> {
        val round = rounds.getOrPut(kind) { ShedRound(kind, settings) }
        return round.checks(nowMs, servers, binding)
    }

    fun receive(kind: SlotKind, message: SlotMessage.ShedVerdict) {
        rounds[kind]?.receive(message)
    }

    fun allowShedding(nowMs: Long, kind: SlotKind, servers: List<FleetServer>): Boolean =
        rounds[kind]?.allowsShedding(nowMs, servers) ?: false

    fun retain(kinds: Set<SlotKind>) {
        rounds.keys.retainAll(kinds)
    }
}
