package org.hyssoprack.link.tcp

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq
import org.hyssoprack.link.ReceivedMessage

/** Opens connections: connects or accepts sockets and performs the handshake. */
internal class ConnectionOpener(
    private val self: HostRef,
    private val address: NetworkAddress,
    private val selector: SelectorManager,
    private val codec: FrameCodec,
    private val settings: LinkSettings,
    private val clock: Clock,
    private val log: EventLog,
    private val counters: LinkCounters,
    private val deliver: (ReceivedMessage) -> Unit
) {
    private val incarnations = IncarnationRegistry(self)

    /** Connects to [target]. Fails with HOST_UNREACHABLE, also if either side rejects the hello. */
    suspend fun dial(target: NetworkAddress): Either<Failure, Connection> {
        counters.dials.increment()
        return withConnectTimeout(target.toString()) {
            val socket = aSocket(selector).tcp().connect(target.ip, target.port) { noDelay = true }
            performHandshake(socket = socket, accepted = false)
        }
            .onLeft { log.event("link-unreachable", "address" eq target, "failure" eq it) }
    }

    /** Performs the handshake on an accepted [socket]. Fails with HOST_UNREACHABLE if it fails. */
    suspend fun accept(socket: Socket): Either<Failure, Connection> =
        withConnectTimeout(socket.remoteAddress.toString()) {
            performHandshake(socket = socket, accepted = true)
        }

    private suspend fun withConnectTimeout(
        from: String,
        open: suspend () -> Either<Failure, Connection>
    ): Either<Failure, Connection> = try {
        withTimeout(settings.connectTimeoutMs) { open() }
    } catch (e: TimeoutCancellationException) {
        unreachable("$from: no connection and hello within ${settings.connectTimeoutMs} ms").left()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        unreachable("$from: ${e.message}").left()
    }

    private suspend fun performHandshake(
        socket: Socket,
        accepted: Boolean
    ): Either<Failure, Connection> {
        val bytes = SocketBytes(socket, selector)
        val frames = FrameSocket(bytes, codec, counters, settings.maxFrameBytes)
        var connection: Either<Failure, Connection>? = null
        try {
            if (!accepted) sendHello(frames)
            connection = readHello(frames).onRight { if (accepted) sendHello(frames) }
                .map { connection(frames, it, accepted) }
            return connection
        } finally {
            if (connection?.isRight() != true) frames.close()
        }
    }

    private suspend fun sendHello(frames: FrameSocket) {
        val hello = Hello(
            version = Hello.WIRE_VERSION,
            ref = self,
            address = address,
            revision = Hello.REVISION
        )
        frames.write(Frame.Handshake(hello))
        frames.flush()
    }

    private suspend fun readHello(frames: FrameSocket): Either<Failure, Hello> {
        val greeting = frames.read().getOrNull() as? Frame.Handshake
        val hello = greeting?.hello
        val fault = faultOf(hello)
        if (hello != null && fault == null) return hello.right()
        counters.refusals.increment()
        log.event("link-hello-refused", "peer" eq hello?.ref, "fault" eq fault)
        return unreachable("rejected hello of ${hello?.ref}: $fault").left()
    }

    private fun faultOf(hello: Hello?): String? = when {
        hello == null -> "no-hello"
        hello.version != Hello.WIRE_VERSION -> "wire-version"
        !incarnations.admit(hello.ref) -> "older-incarnation"
        else -> null
    }

    private fun unreachable(detail: String): Failure = Failure(ResultCode.HOST_UNREACHABLE, detail)

    private fun connection(frames: FrameSocket, hello: Hello, accepted: Boolean): Connection {
        val dialer: HostId = if (accepted) hello.ref.host else self.host
        return Connection(
            peer = hello.ref,
            address = hello.address,
            dialer = dialer,
            revision = hello.revision,
            socket = frames,
            settings = settings,
            clock = clock,
            log = log,
            counters = counters,
            deliver = deliver
        )
    }
}
