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

/** Relays the bytes of one direction of a connection and applies the current faults. */
internal class DirectionRelay(
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val faults: () -> DirectionFaults,
    private val isSilent: () -> Boolean,
    private val beforeChunk: () -> Unit,
    private val sampler: FaultSampler,
    private val onFault: () -> Unit,
    private val clock: Clock = SystemClock
) {
    /** Returns after all input is relayed; throws [ConnectionCutException] if a fault cuts it. */
    suspend fun run() = coroutineScope {
        val chunks = Channel<Chunk>(MAX_PENDING_CHUNKS)
        launch { write(chunks) }
        read(chunks)
        chunks.close()
    }

    private suspend fun read(chunks: SendChannel<Chunk>) {
        val buffer = ByteArray(CHUNK_BYTES)
        var lastDueMs = 0L
        while (true) {
            val count = input.readAvailable(buffer)
            if (count < 0) return
            if (count == 0) continue
            val current = faults()
            if (isDropped(current)) continue
            beforeChunk()
            if (sampler.isHit(current.cutShare)) throw ConnectionCutException()
            val dueMs = clock.nowMs() + current.delayMs + sampler.randomMs(current.jitterMs)
            lastDueMs = maxOf(lastDueMs, dueMs)
            chunks.send(Chunk(dueMs = lastDueMs, bytes = buffer.copyOf(count)))
        }
    }

    private fun isDropped(current: DirectionFaults): Boolean {
        val isDropped = isSilent() || current.silent || sampler.isHit(current.dropShare)
        if (isDropped) onFault()
        return isDropped
    }

    private suspend fun write(chunks: ReceiveChannel<Chunk>) {
        for (chunk in chunks) {
            delay(chunk.dueMs - clock.nowMs())
            if (isSilent() || faults().silent) continue
            output.writeFully(chunk.bytes)
            output.flush()
        }
        if (!isSilent()) output.flushAndClose()
    }

    private class Chunk(val dueMs: Long, val bytes: ByteArray)

    private companion object {
        const val MAX_PENDING_CHUNKS = 256
        const val CHUNK_BYTES = 16_384
    }
}
