package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of one entry host, unique in a deployment and stable over restarts. */
@JvmInline
@Serializable
value class HostId(val value: String) {
    override fun toString(): String = value
}
