package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of a failure domain: the set of machines that one fault can take away together. */
@JvmInline
@Serializable
value class FailureDomain(val value: String) {
    override fun toString(): String = value
}
