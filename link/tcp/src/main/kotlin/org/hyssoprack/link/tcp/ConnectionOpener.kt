package org.hyssoprack.link.tcp

import arrow.core.Either
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.eq
import org.hyssoprack.link.ReceivedMessage

/** Turns sockets into connections by exchanging hellos. */
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
    private val incarnations = IncarnationRegister(self)

    /** Connects to [target]; null if it does not answer in time or is refused. */
    suspend fun dial(target: NetworkAddress): Connection? {
        counters.dials.increment()
        return bounded(target.toString()) {
            val socket = aSocket(selector).tcp().connect(target.ip, target.port) { noDelay = true }
            greet(socket = socket, accepted = false)
        }
    }

    /** Greets a peer that connected to this host; null if it is refused. */
    suspend fun accept(socket: Socket): Connection? {
        val connection = bounded(socket.remoteAddress.toString()) { greet(socket, accepted = true) }
        if (connection == null) socket.close()
        return connection
    }

    private suspend fun bounded(from: String, open: suspend () -> Connection?): Connection? = try {
        withTimeoutOrNull(settings.connectTimeoutMs) { open() }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        log.event("link-unreachable", "address" eq from, "error" eq e.message)
        null
    }

    private suspend fun greet(socket: Socket, accepted: Boolean): Connection? {
        val frames = FrameSocket(socket, codec, counters, settings.maxFrameBytes)
        var connection: Connection? = null
        try {
            if (!accepted) introduce(frames)
            val hello = readHello(frames) ?: return null
            if (accepted) introduce(frames)
            connection = connection(frames, hello, accepted)
            return connection
        } finally {
            if (connection == null) frames.close()
        }
    }

    private suspend fun introduce(frames: FrameSocket) {
        val hello = Hello(version = Hello.WIRE_VERSION, ref = self, address = address)
        frames.write(Frame.Greeting(hello))
        frames.flush()
    }

    private suspend fun readHello(frames: FrameSocket): Hello? {
        val frame = frames.read()
        val hello = (frame as? Either.Right)?.value as? Frame.Greeting
        val fault = hello?.let { faultOf(it.hello) } ?: "no-hello".takeIf { hello == null }
        if (fault == null) return hello?.hello
        counters.refusals.increment()
        log.event("link-hello-refused", "peer" eq hello?.hello?.ref, "fault" eq fault)
        return null
    }

    private fun faultOf(hello: Hello): String? {
        if (hello.version != Hello.WIRE_VERSION) return "wire-version"
        return if (incarnations.admit(hello.ref)) null else "older-incarnation"
    }

    private fun connection(frames: FrameSocket, hello: Hello, accepted: Boolean): Connection {
        val dialer: HostId = if (accepted) hello.ref.host else self.host
        return Connection(
            peer = hello.ref,
            address = hello.address,
            dialer = dialer,
            socket = frames,
            settings = settings,
            clock = clock,
            log = log,
            counters = counters,
            deliver = deliver
        )
    }
}
