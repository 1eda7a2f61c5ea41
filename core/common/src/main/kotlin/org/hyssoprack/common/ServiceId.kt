package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of a plain service that the system routes to. */
@JvmInline
@Serializable
value class ServiceId(val value: String) {
    override fun toString(): String = value
}
