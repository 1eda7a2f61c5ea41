package org.hyssoprack.link.tcp

import arrow.core.Either
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.serialization.modules.SerializersModule
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.SystemClock
import org.hyssoprack.common.TaskSupervisor
import org.hyssoprack.common.eq
import org.hyssoprack.link.Link
import org.hyssoprack.link.ReceivedMessage

/**
 * [Link] over TCP connections that are opened on demand, monitored by heartbeats and closed when
 * idle. Created by [open].
 */
class TcpLink private constructor(
    private val self: HostRef,
    private val server: ServerSocket,
    private val selector: SelectorManager,
    dispatcher: CoroutineDispatcher,
    messages: SerializersModule,
    advertised: NetworkAddress,
    private val settings: LinkSettings,
    private val clock: Clock,
    private val log: EventLog
) : Link {
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val tasks = TaskSupervisor(scope, clock, log)
    private val counters = LinkCounters()
    private val received = Channel<ReceivedMessage>(
        capacity = settings.incomingLength,
        onBufferOverflow = BufferOverflow.DROP_OLDEST,
        onUndeliveredElement = { counters.incomingDrops.increment() }
    )
    private val peers = ConcurrentHashMap<HostId, Peer>()
    private val unidentifiedPeers = ConcurrentHashMap<NetworkAddress, Peer>()
    private val hosts = ConcurrentHashMap<NetworkAddress, HostId>()

    /** Address at which peers connect to this host. */
    val address: NetworkAddress =
        if (advertised.port == 0) advertised.copy(port = server.port()) else advertised

    private val opener = ConnectionOpener(
        self = self,
        address = address,
        selector = selector,
        codec = FrameCodec(messages = messages, maxFrameBytes = settings.maxFrameBytes),
        settings = settings,
        clock = clock,
        log = log,
        counters = counters,
        deliver = { received.trySend(it) }
    )

    override val incoming: ReceiveChannel<ReceivedMessage> get() = received

    /** Counters since the start. */
    val metrics: LinkMetrics get() = counters

    override fun send(to: HostId, message: HostMessage) {
        if (to == self.host) return deliverToSelf(message)
        peer(to).send(message)
    }

    override fun sendTo(address: NetworkAddress, message: HostMessage) {
        if (address == this.address) return deliverToSelf(message)
        val host = hosts[address]
        if (host != null) return peer(host).send(message)
        unidentifiedPeer(address).send(message)
    }

    override fun setAddress(host: HostId, address: NetworkAddress) {
        if (host != self.host) peer(host).address = address
    }

    override suspend fun close() {
        server.close()
        scope.coroutineContext.job.cancelAndJoin()
        selector.close()
        received.close()
    }

    private fun deliverToSelf(message: HostMessage) {
        received.trySend(ReceivedMessage(from = self, message = message))
    }

    private fun peer(host: HostId): Peer = peers.computeIfAbsent(host) { startPeer(it) }

    private fun unidentifiedPeer(address: NetworkAddress): Peer =
        unidentifiedPeers.computeIfAbsent(address) { target ->
            startPeer(host = null).also { it.address = target }
        }

    private fun startPeer(host: HostId?): Peer {
        val peer = Peer(host, settings, clock, counters) { opener.dial(it).onRight(::start) }
        tasks.launch("link-peer") { peer.run() }
        return peer
    }

    private fun start(connection: Connection) {
        val host = connection.peer.host
        hosts[connection.address] = host
        peer(host).address = connection.address
        peer(host).add(connection)
        scope.launch {
            log.event("link-opened", "peer" eq connection.peer, "dialer" eq connection.dialer)
            val reason = connection.run()
            log.event("link-closed", "peer" eq connection.peer, "reason" eq reason.wireName)
        }
    }

    private fun listen() {
        tasks.launch("link-listener") {
            while (true) {
                val socket = nextSocket() ?: continue
                scope.launch { opener.accept(socket).onRight(::start) }
            }
        }
    }

    private suspend fun nextSocket(): Socket? = try {
        server.accept()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        log.event("link-accept-failed", "error" eq e.message)
        delay(ACCEPT_RETRY_DELAY_MS)
        null
    }

    companion object {
        private const val ACCEPT_RETRY_DELAY_MS = 100L

        /**
         * Binds [listen], where port 0 selects a free port, and starts the link.
         *
         * @param messages registers all subclasses of [HostMessage] that are sent or received.
         * @param advertised address at which peers connect to this host.
         * @param selector waits for the sockets; closed with the link.
         * @param dispatcher runs the link's tasks one at a time.
         * @return the link; HOST_UNREACHABLE if the address cannot be bound.
         */
        suspend fun open(
            self: HostRef,
            listen: NetworkAddress,
            messages: SerializersModule,
            advertised: NetworkAddress = listen,
            settings: LinkSettings = LinkSettings(),
            clock: Clock = SystemClock,
            log: EventLog = NoOpEventLog,
            selector: SelectorManager = SelectorManager(Dispatchers.IO),
            dispatcher: CoroutineDispatcher = Dispatchers.Default.limitedParallelism(1)
        ): Either<Failure, TcpLink> =
            Either.catch { aSocket(selector).tcp().bind(listen.ip, listen.port) }
                .onLeft { selector.close() }
                .mapLeft { Failure(ResultCode.HOST_UNREACHABLE, "$listen: ${it.message}") }
                .map { server ->
                    TcpLink(
                        self = self,
                        server = server,
                        selector = selector,
                        dispatcher = dispatcher,
                        messages = messages,
                        advertised = advertised,
                        settings = settings,
                        clock = clock,
                        log = log
                    )
                }
                .onRight { it.listen() }

        private fun ServerSocket.port(): Int = (localAddress as InetSocketAddress).port
    }
}
