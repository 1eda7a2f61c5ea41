package org.hyssoprack.faultproxy

import kotlinx.serialization.Serializable

/** Settings file of the fault proxy. [seed] determines which connections and chunks are hit. */
@Serializable
data class ProxySettings(val listeners: List<ListenerSettings>, val seed: Long = 0)
