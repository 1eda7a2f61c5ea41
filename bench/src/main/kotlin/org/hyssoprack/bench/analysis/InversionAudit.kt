package org.hyssoprack.bench.analysis

/**
 * Detects tier inversions in the event logs of the hosts.
 *
 * @param tiers names of the tiers of one pool, highest first.
 */
class InversionAudit(private val tiers: List<String>, hostEvents: List<LoggedEvent>) {
    private val events = hostEvents.sortedBy { it.epochMs }
    private val holds = holds()

    /**
     * Returns the requests that were shed while a lower-tier request held a slot from [marginMs]
     * before to [marginMs] after the rejection. Each inversion names only the lowest-tier holder.
     */
    fun inversions(marginMs: Long): List<Inversion> =
        events.filter { it.name == "rejected" && it.text("code") in SHED_CODES }
            .mapNotNull { inversion(it, marginMs) }

    private fun inversion(shed: LoggedEvent, marginMs: Long): Inversion? {
        val rank = tiers.indexOf(shed.text("tier"))
        val holder = holds
            .filter { it.rank > rank && it.fromMs + marginMs <= shed.epochMs }
            .filter { it.toMs - marginMs > shed.epochMs }
            .maxByOrNull { it.rank } ?: return null
        return Inversion(
            shedRequest = shed.request,
            shedTier = shed.text("tier").orEmpty(),
            code = shed.text("code").orEmpty(),
            epochMs = shed.epochMs,
            holder = holder.request,
            holderTier = tiers[holder.rank],
            server = holder.server,
            heldForMs = shed.epochMs - holder.fromMs,
            heldOnForMs = holder.toMs - shed.epochMs
        )
    }

    private fun holds(): List<SlotHold> {
        val open = HashMap<String, LoggedEvent>()
        val closed = mutableListOf<SlotHold>()
        events.forEach { event ->
            when (event.name) {
                "dispatched", "resumed" -> open[event.request] = event

                "finished", "suspended", "preempted" ->
                    open.remove(event.request)?.let { closed.add(hold(it, event.epochMs)) }
            }
        }
        return closed
    }

    private fun hold(from: LoggedEvent, toMs: Long) = SlotHold(
        request = from.request,
        rank = tiers.indexOf(from.text("tier")),
        server = from.text("server").orEmpty(),
        fromMs = from.epochMs,
        toMs = toMs
    )

    private companion object {
        /** Result codes: queue full, deadline unreachable, deadline passed while queued. */
        val SHED_CODES = setOf("2000", "2001", "2002")
    }
}
