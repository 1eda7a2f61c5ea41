package org.hyssoprack.faultproxy

import kotlinx.serialization.Serializable

/** One listener: connections to [listen] are forwarded to [target], both as `ip:port`. */
@Serializable
data class ListenerSettings(val name: String, val listen: String, val target: String)
