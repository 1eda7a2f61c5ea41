package org.hyssoprack.scheduling

import org.hyssoprack.common.HostRef
import org.hyssoprack.common.TierRank

/** Shed verdicts that have not lapsed. Until they do, their tiers block lending to lower tiers. */
internal class ActiveVerdicts {
    private val lapseAtMs = HashMap<VerdictKey, Long>()

    fun add(holder: HostRef, tier: TierRank, long: Boolean, untilMs: Long) {
        lapseAtMs[VerdictKey(holder, tier, long)] = untilMs
    }

    /** Returns true if a verdict is for a higher tier that could use a slot lent to [tier]. */
    fun blocks(tier: TierRank, longCapReached: Boolean): Boolean =
        lapseAtMs.keys.any { it.tier.isAbove(tier) && !(it.long && longCapReached) }

    fun removeLapsed(nowMs: Long) {
        lapseAtMs.values.removeIf { it <= nowMs }
    }

    fun removeAllOf(holder: HostRef) {
        lapseAtMs.keys.removeIf { it.holder == holder }
    }

    private data class VerdictKey(val holder: HostRef, val tier: TierRank, val long: Boolean)
}
