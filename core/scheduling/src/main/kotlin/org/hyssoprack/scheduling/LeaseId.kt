package org.hyssoprack.scheduling

import kotlinx.serialization.Serializable

/** Identifies a slot lease; unique within its owner's incarnation. */
@JvmInline
@Serializable
value class LeaseId(val value: Long) {
    override fun toString(): String = value.toString()
}
