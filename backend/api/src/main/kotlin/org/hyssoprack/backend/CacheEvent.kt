package org.hyssoprack.backend

import kotlinx.serialization.Serializable

/**
 * A change of an engine's prefix cache.
 *
 * @property sequence increases by one with each event; a larger step means that events were lost.
 * @property prefixHash hash of the prompt's first blocks, as [PrefixHash] computes it.
 * @property stored true when the prefix was stored, false when it was evicted.
 */
@Serializable
data class CacheEvent(val sequence: Long, val prefixHash: Long, val stored: Boolean)
