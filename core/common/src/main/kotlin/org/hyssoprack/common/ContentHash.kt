package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** SHA-256 of a stored body, as 64 lower-case hexadecimal digits. */
@JvmInline
@Serializable
value class ContentHash(val value: String) {
    override fun toString(): String = value
}
