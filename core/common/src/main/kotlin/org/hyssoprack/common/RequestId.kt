package org.hyssoprack.common

import kotlinx.serialization.Serializable

/**
 * Identifies one request of a caller over all of its attempts.
 *
 * The form is `host~incarnation~suffix`; it names the host incarnation that took the request in
 * first, so that another host knows whom to ask before it accepts a retry.
 */
@JvmInline
@Serializable
value class RequestId(val value: String) {
    /** The host incarnation that the id names, or null if the id is not of the system's form. */
    fun origin(): HostRef? {
        val parts = value.split(SEPARATOR)
        if (parts.size != PART_COUNT) return null
        val incarnation = Incarnation.parse(parts[1]) ?: return null
        return HostRef(host = HostId(parts[0]), incarnation = incarnation)
    }

    override fun toString(): String = value

    companion object {
        private const val SEPARATOR = '~'
        private const val PART_COUNT = 3

        /** Builds an id that names [origin]; [suffix] must be unique among that incarnation's ids. */
        fun of(origin: HostRef, suffix: String): RequestId =
            RequestId("${origin.host}$SEPARATOR${origin.incarnation}$SEPARATOR$suffix")
    }
}
