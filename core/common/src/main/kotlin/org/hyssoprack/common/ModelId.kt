package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of a model that engines load and callers request. */
@JvmInline
@Serializable
value class ModelId(val value: String) {
    override fun toString(): String = value
}
