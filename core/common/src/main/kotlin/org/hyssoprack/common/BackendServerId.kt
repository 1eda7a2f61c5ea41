package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of one backend server, as listed in the platform's host list. */
@JvmInline
@Serializable
value class BackendServerId(val value: String) {
    override fun toString(): String = value
}
