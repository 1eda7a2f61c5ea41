package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of a tier in the policy. */
@JvmInline
@Serializable
value class TierName(val value: String) {
    override fun toString(): String = value
}
