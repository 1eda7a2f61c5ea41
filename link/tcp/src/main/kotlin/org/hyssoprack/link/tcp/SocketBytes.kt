package org.hyssoprack.link.tcp

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/**
 * Bytes of one socket, read and written by the calling coroutine. Ktor's own byte channels run every
 * read and write on `Dispatchers.IO`, which costs several thread switches for each message.
 *
 * Reads and writes throw the socket's exceptions.
 */
internal class SocketBytes(private val socket: Socket, private val selector: SelectorManager) {
    // The sockets of Ktor on the JVM are selectable NIO channels.
    private val selectable = socket as Selectable
    private val channel = selectable.channel as SocketChannel
    private val buffered = ByteBuffer.allocate(BUFFER_BYTES).limit(0)

    /** Waits for more bytes. Returns false if the peer has closed the connection. */
    suspend fun awaitBytes(): Boolean = buffered.hasRemaining() || fillBuffer()

    /** Reads bytes into [target]. Returns false if the peer closed the connection before the end. */
    suspend fun readFully(target: ByteBuffer): Boolean {
        while (target.hasRemaining()) {
            if (buffered.hasRemaining()) {
                moveBuffered(target)
            } else if (target.remaining() >= BUFFER_BYTES) {
                if (read(target) < 0) return false
            } else if (!fillBuffer()) {
                return false
            }
        }
        return true
    }

    /** Writes all of [source]. */
    suspend fun write(source: ByteBuffer) {
        while (source.hasRemaining()) {
            if (channel.write(source) == 0) await(SelectInterest.WRITE)
        }
    }

    /** Closes the socket in both directions. */
    fun close() = socket.close()

    private fun moveBuffered(target: ByteBuffer) {
        val end = buffered.limit()
        buffered.limit(minOf(end, buffered.position() + target.remaining()))
        target.put(buffered)
        buffered.limit(end)
    }

    private suspend fun fillBuffer(): Boolean {
        buffered.clear()
        val count = read(buffered)
        buffered.flip()
        return count >= 0
    }

    private suspend fun read(target: ByteBuffer): Int {
        while (true) {
            val count = channel.read(target)
            if (count != 0) return count
            await(SelectInterest.READ)
        }
    }

    private suspend fun await(interest: SelectInterest) {
        selectable.interestOp(interest, true)
        selector.select(selectable, interest)
    }

    private companion object {
        // Holds most messages; longer ones are read into their own array.
        const val BUFFER_BYTES = 2_048
    }
}
