package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** A numeric IP address and a TCP or UDP port; host names are not accepted. */
@Serializable
data class NetworkAddress(val ip: String, val port: Int) {
    override fun toString(): String = "$ip:$port"

    companion object {
        private val IP_NUMBER = Regex("""\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]*""")
        private const val MAX_PORT = 65_535

        /**
         * Parses `ip:port`; null if [text] is not a numeric IP address with a port from 1 to 65535.
         */
        fun parse(text: String): NetworkAddress? {
            val ip = text.substringBeforeLast(':').removeSurrounding("[", "]")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            if (!IP_NUMBER.matches(ip) || port !in 1..MAX_PORT) return null
            return NetworkAddress(ip = ip, port = port)
        }
    }
}
