package org.hyssoprack.scheduling

import org.hyssoprack.common.HostRef
import org.hyssoprack.common.TierRank

/** Tiers for which entry hosts hold a verdict; nothing is lent below them until it has lapsed. */
internal class ActiveVerdicts {
    private val lapseAtMs = HashMap<Watch, Long>()

    fun add(holder: HostRef, tier: TierRank, long: Boolean, untilMs: Long) {
        lapseAtMs[Watch(holder, tier, long)] = untilMs
    }

    /** True if a watched tier is above [tier] and could use a slot that is lent to [tier]. */
    fun blocks(tier: TierRank, longFull: Boolean): Boolean =
        lapseAtMs.keys.any { it.tier.isAbove(tier) && !(it.long && longFull) }

    fun removeLapsed(nowMs: Long) {
        lapseAtMs.values.removeIf { it <= nowMs }
    }

    fun removeOf(holder: HostRef) {
        lapseAtMs.keys.removeIf { it.holder == holder }
    }

    private data class Watch(val holder: HostRef, val tier: TierRank, val long: Boolean)
}
