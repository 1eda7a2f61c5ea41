package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of a failure domain: a set of machines that a single fault can take down together. */
@JvmInline
@Serializable
value class FailureDomain(val value: String) {
    override fun toString(): String = value
}
