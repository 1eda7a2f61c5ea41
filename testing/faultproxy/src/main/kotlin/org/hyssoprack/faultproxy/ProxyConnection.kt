package org.hyssoprack.faultproxy

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import java.io.IOException
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

/** One connection through the proxy: a socket to the connecting side and one to the target. */
internal class ProxyConnection(
    private val near: Socket,
    private val far: Socket,
    private val faults: () -> ListenerFaults,
    private val dice: Dice,
    private val onHit: () -> Unit
) {
    @Volatile
    private var silent = false
    private val losesReply = dice.hits(faults().loseReplyShare)

    /** Drops all further data of this connection and leaves it open, for good. */
    fun silence() {
        silent = true
        onHit()
    }

    /** Closes both sides at once. */
    fun cut() {
        near.close()
        far.close()
    }

    /** Carries bytes both ways until both sides have ended or the connection is cut. */
    suspend fun run() {
        try {
            coroutineScope {
                launch { pump(near, far, { faults().up }, beforeBytes = {}).run() }
                launch { pump(far, near, { faults().down }, ::beforeReply).run() }
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

    private fun beforeReply() {
        if (!losesReply) return
        onHit()
        throw ConnectionCut()
    }

    private fun pump(
        from: Socket,
        to: Socket,
        direction: () -> DirectionFaults,
        beforeBytes: () -> Unit
    ) = Pump(
        input = from.openReadChannel(),
        output = to.openWriteChannel(autoFlush = false),
        faults = direction,
        isSilent = { silent },
        beforeBytes = beforeBytes,
        dice = dice,
        onHit = onHit
    )
}
