package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Identifies a part of a prompt that several requests may share. */
@JvmInline
@Serializable
value class PromptPartId(val value: String) {
    override fun toString(): String = value
}
