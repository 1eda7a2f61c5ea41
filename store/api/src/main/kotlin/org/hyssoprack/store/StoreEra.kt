package org.hyssoprack.store

import kotlinx.serialization.Serializable

/** Number that the store raises each time that it is restored from an older copy. */
@JvmInline
@Serializable
value class StoreEra(val number: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}
