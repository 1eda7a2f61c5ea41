package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Key that a caller sends with all attempts of a call that must not run more than once. */
@JvmInline
@Serializable
value class IdempotencyKey(val value: String) {
    override fun toString(): String = value
}
