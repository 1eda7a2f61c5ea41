package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of one backend server, as the platform's host list gives it. */
@JvmInline
@Serializable
value class BackendServerId(val value: String) {
    override fun toString(): String = value
}
