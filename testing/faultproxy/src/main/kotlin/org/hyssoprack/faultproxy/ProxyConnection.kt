package org.hyssoprack.faultproxy

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import java.io.IOException
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

/** One proxied connection: a socket to the client and one to the target. */
internal class ProxyConnection(
    private val client: Socket,
    private val target: Socket,
    private val faults: () -> ListenerFaults,
    private val sampler: FaultSampler,
    private val onFault: () -> Unit
) {
    @Volatile
    private var silent = false
    private val losesReply = sampler.isHit(faults().loseReplyShare)

    /** Drops all further data of this connection, for the rest of its life, but keeps it open. */
    fun silence() {
        silent = true
        onFault()
    }

    /** Closes both sockets at once. */
    fun cut() {
        client.close()
        target.close()
    }

    /** Relays bytes in both directions until both sides have ended or the connection is cut. */
    suspend fun run() {
        try {
            coroutineScope {
                launch { relay(client, target, { faults().up }, beforeChunk = {}).run() }
                launch { relay(target, client, { faults().down }, ::cutIfReplyIsLost).run() }
            }
            if (silent) awaitCancellation()
        } catch (e: IOException) {
            if (silent) awaitCancellation()
        } catch (e: ClosedReceiveChannelException) {
            if (silent) awaitCancellation()
        } finally {
            cut()
        }
    }

    private fun cutIfReplyIsLost() {
        if (!losesReply) return
        onFault()
        throw ConnectionCutException()
    }

    private fun relay(
        from: Socket,
        to: Socket,
        direction: () -> DirectionFaults,
        beforeChunk: () -> Unit
    ) = DirectionRelay(
        input = from.openReadChannel(),
        output = to.openWriteChannel(autoFlush = false),
        faults = direction,
        isSilent = { silent },
        beforeChunk = beforeChunk,
        sampler = sampler,
        onFault = onFault
    )
}
