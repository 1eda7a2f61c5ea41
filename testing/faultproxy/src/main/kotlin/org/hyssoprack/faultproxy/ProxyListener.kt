package org.hyssoprack.faultproxy

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.hyssoprack.common.NetworkAddress

/** Accepts connections to one target and applies the listener's faults to them. */
internal class ProxyListener(
    private val name: String,
    private val listen: NetworkAddress,
    private val target: NetworkAddress,
    seed: Long,
    private val selector: SelectorManager,
    private val scope: CoroutineScope
) {
    private val sampler = FaultSampler(seed)
    private val connections = ConcurrentHashMap.newKeySet<ProxyConnection>()
    private val accepted = AtomicLong()
    private val hits = AtomicLong()
    private val mutex = Mutex()
    private var acceptJob: Job? = null

    @Volatile
    private var faults = ListenerFaults()

    /** Sets the faults for new and open connections. */
    suspend fun set(next: ListenerFaults) = mutex.withLock {
        faults = next
        if (next.refuse) closeListener() else openListener()
    }

    /** Closes all connections that are open now. */
    fun cut() = connections.forEach {
        hits.incrementAndGet()
        it.cut()
    }

    /** Drops all further data of the connections that are open now; new ones are not affected. */
    fun silence() = connections.forEach { it.silence() }

    /** Returns the faults and counters of this listener. */
    fun state() = ListenerState(
        name = name,
        faults = faults,
        open = connections.size,
        accepted = accepted.get(),
        hits = hits.get()
    )

    private suspend fun openListener() {
        if (acceptJob != null) return
        val server = aSocket(selector).tcp().bind(listen.ip, listen.port) { reuseAddress = true }
        acceptJob = scope.launch { accept(server) }
    }

    private suspend fun closeListener() {
        val running = acceptJob ?: return
        running.cancelAndJoin()
        acceptJob = null
        while (isAccepting()) delay(CHECK_MS)
    }

    // The OS accepts connections until the selector thread releases the closed socket.
    private suspend fun isAccepting(): Boolean = try {
        aSocket(selector).tcp().connect(listen.ip, listen.port).close()
        true
    } catch (_: IOException) {
        false
    }

    private suspend fun accept(server: ServerSocket) = server.use {
        while (true) {
            val client = server.accept()
            accepted.incrementAndGet()
            scope.launch { relay(client) }
        }
    }

    private suspend fun relay(client: Socket) {
        val targetSocket = try {
            aSocket(selector).tcp().connect(target.ip, target.port) { noDelay = true }
        } catch (_: IOException) {
            client.close()
            return
        }
        val connection = ProxyConnection(client, targetSocket, { faults }, sampler) {
            hits.incrementAndGet()
        }
        connections.add(connection)
        try {
            connection.run()
        } finally {
            connections.remove(connection)
        }
    }

    private companion object {
        // Longer than one select cycle on an idle machine.
        const val CHECK_MS = 2L
    }
}
