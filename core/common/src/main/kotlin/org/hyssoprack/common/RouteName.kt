package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of a route in the policy. */
@JvmInline
@Serializable
value class RouteName(val value: String) {
    override fun toString(): String = value
}
