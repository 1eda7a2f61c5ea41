package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** Rendezvous hashing: gives all hosts the same order of servers for the same key. */
internal object RendezvousHash {
    private const val FIRST_FACTOR = -0x61c8_8646_80b5_83ebL
    private const val SECOND_FACTOR = -0x40a7_b892_e31b_1a47L
    private const val THIRD_FACTOR = -0x6b2f_b644_ecce_ee15L

    /** Returns the pseudo-random weight of [server] for [key]. */
    fun weight(key: Long, server: BackendServerId): Long =
        mix(key * FIRST_FACTOR + server.value.hashCode())

    private fun mix(value: Long): Long {
        val first = (value xor (value ushr 30)) * SECOND_FACTOR
        val second = (first xor (first ushr 27)) * THIRD_FACTOR
        return second xor (second ushr 31)
    }
}
