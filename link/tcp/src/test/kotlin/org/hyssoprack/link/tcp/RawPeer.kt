package org.hyssoprack.link.tcp

import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.ServerSocket
import java.net.Socket
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.NetworkAddress

/** Peer of a link under test that sends and reads single frames on a plain socket. */
internal class RawPeer(private val socket: Socket) : AutoCloseable {
    private val codec = FrameCodec(messages = notes, maxFrameBytes = MAX_FRAME_BYTES)
    private val input = DataInputStream(socket.getInputStream())
    private val output = DataOutputStream(socket.getOutputStream())

    fun sendHello(
        host: String,
        incarnation: Long,
        address: NetworkAddress = ADDRESS,
        version: Int = 1
    ) {
        val ref = HostRef(HostId(host), Incarnation(incarnation))
        write(Frame.Handshake(Hello(version = version, ref = ref, address = address)))
    }

    fun write(frame: Frame) = writeBytes(codec.encode(frame).getOrNull() ?: error("not encoded"))

    fun writeBytes(bytes: ByteArray) {
        output.writeInt(bytes.size)
        output.write(bytes)
    }

    /** Sends a heartbeat every 20 ms, for slightly longer than [ms]. */
    fun writeHeartbeatsFor(ms: Long) {
        repeat((ms / HEARTBEAT_MS).toInt() + 1) {
            write(Frame.Heartbeat)
            Thread.sleep(HEARTBEAT_MS)
        }
    }

    fun writeLength(length: Int) = output.writeInt(length)

    /** Writes [bytes] as they are, as a part of a frame. */
    fun writePart(bytes: ByteArray) = output.write(bytes)

    /** Ends the connection with a reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Reads the next frame; null once the link has closed the connection. */
    fun read(): Frame? = try {
        val bytes = ByteArray(input.readInt())
        input.readFully(bytes)
        codec.decode(bytes).getOrNull()
    } catch (e: java.io.IOException) {
        null
    }

    fun readNote(): Note? {
        while (true) {
            val frame = read() ?: return null
            if (frame is Frame.Payload) return frame.message as Note
        }
    }

    fun readToEnd() {
        while (read() != null) Unit
    }

    override fun close() = socket.close()

    companion object {
        private const val MAX_FRAME_BYTES = 1_000_000
        private const val HEARTBEAT_MS = 20L
        private const val READ_TIMEOUT_MS = 10_000
        private val ADDRESS = NetworkAddress("127.0.0.1", 1)

        fun connect(address: NetworkAddress): RawPeer =
            RawPeer(Socket(address.ip, address.port).apply { soTimeout = READ_TIMEOUT_MS })

        fun accept(server: ServerSocket): RawPeer =
            RawPeer(server.accept().apply { soTimeout = READ_TIMEOUT_MS })
    }
}
