package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of a client account as written in the accepted settings bundle. */
@JvmInline
@Serializable
value class ClientAccount(val value: String) {
    override fun toString(): String = value
}
