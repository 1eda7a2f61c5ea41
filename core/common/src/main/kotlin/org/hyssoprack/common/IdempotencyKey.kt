package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Key by which a caller marks all attempts of one call that may not be repeated. */
@JvmInline
@Serializable
value class IdempotencyKey(val value: String) {
    override fun toString(): String = value
}
