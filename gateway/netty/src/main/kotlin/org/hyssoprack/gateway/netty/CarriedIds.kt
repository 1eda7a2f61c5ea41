package org.hyssoprack.gateway.netty

/**
 * Ids of the requests that a connection has carried, by their hashes: an id whose hash collides with
 * another one's counts as carried.
 */
internal class CarriedIds {
    private var hashes = IntArray(INITIAL_SIZE)
    private var size = 0

    /** Whether the connection is to carry no further request. */
    val isFull: Boolean get() = size >= MAX_IDS

    operator fun plusAssign(id: String) {
        if (size == hashes.size) hashes = hashes.copyOf(size * 2)
        hashes[size++] = id.hashCode()
    }

    operator fun contains(id: String): Boolean {
        val hash = id.hashCode()
        for (i in 0 until size) if (hashes[i] == hash) return true
        return false
    }

    private companion object {
        const val INITIAL_SIZE = 8

        // Bounds the memory for ids; a connection is closed rather than forget one of them.
        const val MAX_IDS = 256
    }
}
