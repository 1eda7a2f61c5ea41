package org.hyssoprack.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * Collects a body up to [maxBytes]. A body of a declared length ends in the array that is returned;
 * one without is copied once more.
 *
 * @param declaredBytes the body's length; null if it is not known.
 */
class BodyBuffer(private val declaredBytes: Int?, private val maxBytes: Int) {
    private var array = EMPTY

    /** Number of bytes added. */
    var size = 0
        private set

    /**
     * Returns the length of the array that holds [more] bytes as well; null if the body would exceed
     * the limit. An array of the declared length is taken only once a quarter of it has arrived.
     */
    fun capacityFor(more: Int): Int? {
        val needed = size.toLong() + more
        if (needed > maxBytes) return null
        if (needed <= array.size) return array.size
        val limit = maxOf(needed.toInt(), minOf(declaredBytes ?: maxBytes, maxBytes))
        val isLengthCredible = declaredBytes != null && needed * CREDIBLE_PARTS >= limit
        return if (isLengthCredible) limit else minOf(limit, maxOf(needed.toInt(), 2 * array.size))
    }

    /** Appends [bytes], which must fit. */
    fun add(bytes: ByteBuf) {
        val count = bytes.readableBytes()
        val capacity = requireNotNull(capacityFor(count)) { "exceeds $maxBytes bytes" }
        if (capacity > array.size) array = array.copyOf(capacity)
        bytes.readBytes(array, size, count)
        size += count
    }

    fun add(bytes: ByteArray) = add(Unpooled.wrappedBuffer(bytes))

    fun toByteArray(): ByteArray = if (array.size == size) array else array.copyOf(size)

    private companion object {
        val EMPTY = ByteArray(0)
        const val CREDIBLE_PARTS = 4
    }
}
