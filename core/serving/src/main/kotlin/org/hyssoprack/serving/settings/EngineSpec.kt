package org.hyssoprack.serving.settings

/**
 * What a service's engines have in common.
 *
 * @property slots requests that an engine runs at once.
 * @property memoryTokens tokens that its memory holds.
 */
data class EngineSpec(val slots: Int, val memoryTokens: Long)
