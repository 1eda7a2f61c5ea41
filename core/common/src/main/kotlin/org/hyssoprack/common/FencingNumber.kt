package org.hyssoprack.common

import kotlinx.serialization.Serializable

/**
 * Number that increases with each new holder of a lease; receivers reject orders with a lower one.
 */
@JvmInline
@Serializable
value class FencingNumber(val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
