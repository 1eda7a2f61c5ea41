package org.hyssoprack.common

import kotlinx.serialization.Serializable

/**
 * Identifies one request of a caller over all of its attempts.
 *
 * The format is `host~incarnation~suffix`. It contains the host incarnation that received the first
 * attempt, so that another host can query that host before it accepts a retry.
 */
@JvmInline
@Serializable
value class RequestId(val value: String) {
    /** The host incarnation in the id, or null if the id does not have this format. */
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

        /** Builds an id with [origin]; [suffix] must be unique among that incarnation's ids. */
        fun of(origin: HostRef, suffix: String): RequestId =
            RequestId("${origin.host}$SEPARATOR${origin.incarnation}$SEPARATOR$suffix")
    }
}
