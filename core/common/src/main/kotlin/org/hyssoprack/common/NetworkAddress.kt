package org.hyssoprack.common

import com.google.common.net.InetAddresses
import kotlinx.serialization.Serializable

/** A numeric IP address and a TCP or UDP port; host names are not accepted. */
@Serializable
data class NetworkAddress(val ip: String, val port: Int) {
    override fun toString(): String = "$ip:$port"

    companion object {
        private const val MAX_PORT = 65_535
        private const val MAX_PORT_DIGITS = 5

        /** Length of the longest address: IPv6 with an IPv4 part, in brackets, and a port. */
        const val MAX_CHARS = 53

        /**
         * Parses `ip:port`; null if [input] is not a numeric IP address with a port from 1 to 65535.
         * The input may come from another process and have any length.
         */
        fun parse(input: CharSequence): NetworkAddress? {
            if (input.length > MAX_CHARS) return null
            val text = input.toString()
            val ip = text.substringBeforeLast(':').removeSurrounding("[", "]")
            val port = portOf(text.substringAfterLast(':')) ?: return null
            if (!isNumericAddress(ip) || port !in 1..MAX_PORT) return null
            return NetworkAddress(ip = ip, port = port)
        }

        // A zone index names an interface of another machine.
        private fun isNumericAddress(ip: String): Boolean =
            '%' !in ip && InetAddresses.isInetAddress(ip)

        private fun portOf(text: String): Int? =
            text.takeIf { it.length <= MAX_PORT_DIGITS && it.all { digit -> digit in '0'..'9' } }
                ?.toIntOrNull()
    }
}
