package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Rank of a tier; 0 is served first. A lower number is a higher tier. */
@JvmInline
@Serializable
value class TierRank(val value: Int) : Comparable<TierRank> {
    /** True if requests of this tier are served before those of [other]. */
    fun isAbove(other: TierRank): Boolean = value < other.value

    override fun compareTo(other: TierRank): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
