package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of an operator, as the daemon's settings give it. */
@JvmInline
@Serializable
value class OperatorName(val value: String) {
    override fun toString(): String = value
}
