package org.hyssoprack.faultproxy

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.common.Clock
import org.hyssoprack.common.SystemClock

/** Carries the bytes of one direction of a connection, with the faults that hold at the time. */
internal class Pump(
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val faults: () -> DirectionFaults,
    private val isSilent: () -> Boolean,
    private val beforeBytes: () -> Unit,
    private val dice: Dice,
    private val onHit: () -> Unit,
    private val clock: Clock = SystemClock
) {
    /** Returns when the input has ended and all was carried; throws when the connection is cut. */
    suspend fun run() = coroutineScope {
        val pieces = Channel<Piece>(PIECES)
        launch { write(pieces) }
        read(pieces)
        pieces.close()
    }

    private suspend fun read(pieces: SendChannel<Piece>) {
        val buffer = ByteArray(PIECE_BYTES)
        var lastDueMs = 0L
        while (true) {
            val count = input.readAvailable(buffer)
            if (count < 0) return
            if (count == 0) continue
            val now = faults()
            if (isDropped(now)) continue
            beforeBytes()
            if (dice.hits(now.cutShare)) throw ConnectionCut()
            val dueMs = clock.nowMs() + now.delayMs + dice.timeMs(now.jitterMs)
            lastDueMs = maxOf(lastDueMs, dueMs)
            pieces.send(Piece(dueMs = lastDueMs, bytes = buffer.copyOf(count)))
        }
    }

    private fun isDropped(now: DirectionFaults): Boolean {
        val isDropped = isSilent() || now.silent || dice.hits(now.dropShare)
        if (isDropped) onHit()
        return isDropped
    }

    private suspend fun write(pieces: ReceiveChannel<Piece>) {
        for (piece in pieces) {
            delay(piece.dueMs - clock.nowMs())
            if (isSilent() || faults().silent) continue
            output.writeFully(piece.bytes)
            output.flush()
        }
        if (!isSilent()) output.flushAndClose()
    }

    private class Piece(val dueMs: Long, val bytes: ByteArray)

    private companion object {
        const val PIECES = 256
        const val PIECE_BYTES = 16_384
    }
}
