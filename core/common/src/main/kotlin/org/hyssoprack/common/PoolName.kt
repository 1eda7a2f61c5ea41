package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of a pool of interchangeable backend servers in the policy. */
@JvmInline
@Serializable
value class PoolName(val value: String) {
    override fun toString(): String = value
}
