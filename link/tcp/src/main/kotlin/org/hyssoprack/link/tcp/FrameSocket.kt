package org.hyssoprack.link.tcp

import arrow.core.Either
import arrow.core.left
import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.nio.ByteBuffer

/** Reads and writes length-prefixed frames on one socket; throws the socket's exceptions. */
internal class FrameSocket(
    private val socket: SocketBytes,
    private val codec: FrameCodec,
    private val counters: LinkCounters,
    private val maxFrameBytes: Int
) {
    private val length = ByteBuffer.allocate(LENGTH_BYTES)
    private val unsent = ByteArrayOutputStream()

    /** Reads one frame; calls [onBytes] for each part of it that arrives. */
    suspend fun read(onBytes: () -> Unit = {}): Either<FrameFault, Frame> {
        if (!socket.awaitBytes()) throw EOFException("the peer closed the connection")
        readFully(length.clear())
        onBytes()
        val size = length.flip().getInt()
        if (size > maxFrameBytes || size < 0) return FrameFault.TOO_LARGE.left()
        val bytes = ByteArray(size)
        var offset = 0
        while (offset < size) {
            val end = minOf(offset + CHUNK_BYTES, size)
            readFully(ByteBuffer.wrap(bytes, offset, end - offset))
            offset = end
            onBytes()
        }
        counters.bytesIn.add(LENGTH_BYTES + size.toLong())
        counters.framesIn.increment()
        return codec.decode(bytes)
    }

    private suspend fun readFully(target: ByteBuffer) {
        if (!socket.readFully(target)) {
            throw EOFException("the peer's connection ended within a frame")
        }
    }

    /** Buffers a frame until [flush] and returns its size in bytes, or why it was not encoded. */
    fun write(frame: Frame): Either<FrameFault, Int> = codec.encode(frame).map { bytes ->
        unsent.write(ByteBuffer.allocate(LENGTH_BYTES).putInt(bytes.size).array())
        unsent.write(bytes)
        counters.bytesOut.add(LENGTH_BYTES + bytes.size.toLong())
        counters.framesOut.increment()
        LENGTH_BYTES + bytes.size
    }

    /** Sends all buffered frames. */
    suspend fun flush() {
        val bytes = ByteBuffer.wrap(unsent.toByteArray())
        unsent.reset()
        socket.write(bytes)
    }

    /** Closes the socket in both directions. */
    fun close() = socket.close()

    private companion object {
        const val LENGTH_BYTES = 4
        const val CHUNK_BYTES = 64 * 1_024
    }
}
