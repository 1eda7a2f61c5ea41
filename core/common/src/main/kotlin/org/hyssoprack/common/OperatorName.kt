package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of an operator, as configured in the settings of the daemon. */
@JvmInline
@Serializable
value class OperatorName(val value: String) {
    override fun toString(): String = value
}
