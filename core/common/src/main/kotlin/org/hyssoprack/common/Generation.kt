package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of a hardware generation; backend servers of one generation have similar speed. */
@JvmInline
@Serializable
value class Generation(val value: String) {
    override fun toString(): String = value
}
