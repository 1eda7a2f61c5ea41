package org.hyssoprack.link.tcp

import arrow.core.Either
import arrow.core.left
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.io.EOFException
import java.io.IOException

/** Reads and writes length-prefixed frames on one socket; throws the socket's exceptions. */
internal class FrameSocket(
    private val socket: Socket,
    private val codec: FrameCodec,
    private val counters: LinkCounters,
    private val maxFrameBytes: Int
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    /** Reads one frame; calls [onBytes] for each part of it that arrives. */
    suspend fun read(onBytes: () -> Unit = {}): Either<FrameFault, Frame> {
        if (!input.awaitContent()) throw EOFException("the peer closed the connection")
        return try {
            readFrame(onBytes)
        } catch (e: IOException) {
            throw endWithinFrame(e)
        }
    }

    private suspend fun readFrame(onBytes: () -> Unit): Either<FrameFault, Frame> {
        val length = input.readInt()
        onBytes()
        if (length > maxFrameBytes || length < 0) return FrameFault.TOO_LARGE.left()
        val bytes = ByteArray(length)
        var offset = 0
        while (offset < length) {
            val end = minOf(offset + CHUNK_BYTES, length)
            input.readFully(bytes, offset, end)
            offset = end
            onBytes()
        }
        counters.bytesIn.add(LENGTH_BYTES + length.toLong())
        counters.framesIn.increment()
        return codec.decode(bytes)
    }

    private fun endWithinFrame(end: IOException): IOException {
        val isReset = input.closedCause != null
        return if (isReset) end else EOFException("the peer's connection ended within a frame")
    }

    /** Buffers a frame until [flush] and returns its size in bytes, or why it was not encoded. */
    suspend fun write(frame: Frame): Either<FrameFault, Int> = codec.encode(frame).map { bytes ->
        output.writeInt(bytes.size)
        output.writeFully(bytes)
        counters.bytesOut.add(LENGTH_BYTES + bytes.size.toLong())
        counters.framesOut.increment()
        LENGTH_BYTES + bytes.size
    }

    /** Sends all buffered frames. */
    suspend fun flush() = output.flush()

    /** Closes the socket in both directions. */
    fun close() = socket.close()

    private companion object {
        const val LENGTH_BYTES = 4
        const val CHUNK_BYTES = 64 * 1_024
    }
}
