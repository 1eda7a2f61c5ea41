package org.hyssoprack.store

import kotlinx.serialization.Serializable
import org.hyssoprack.common.ModelId

/** One loadable version of a model; [sizeBytes] is the size of its weights. */
@Serializable
data class ModelVersion(val model: ModelId, val version: String, val sizeBytes: Long)
