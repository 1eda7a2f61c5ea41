package org.hyssoprack.serving.settings

/**
 * Properties that all engines of a service share.
 *
 * @property slots maximum number of concurrent requests of an engine.
 * @property memoryTokens capacity of its memory in tokens.
 */
data class EngineSpec(val slots: Int, val memoryTokens: Long)
