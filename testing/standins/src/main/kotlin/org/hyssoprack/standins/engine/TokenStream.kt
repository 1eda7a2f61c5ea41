package org.hyssoprack.standins.engine

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Writes the tokens of one request to one connection, starting at the token index [offset].
 *
 * @param cut closes the connection in the middle of the response.
 */
internal class TokenStream(
    private val run: EngineRun,
    private val chunks: ChunkWriter,
    private val otherChunks: ChunkWriter,
    private val offset: Int,
    private val fault: StreamFault,
    private val faultAfterTokens: Int,
    private val cut: () -> Nothing
) {
    private var next = offset

    /** Writes until the request has ended or the fault of this stream interrupts it. */
    suspend fun writeTo(output: ByteWriteChannel) {
        val changes = run.subscribe()
        try {
            writeTo(output, changes)
        } finally {
            run.unsubscribe(changes)
        }
    }

    private suspend fun writeTo(output: ByteWriteChannel, changes: ReceiveChannel<Unit>) {
        output.writeStringUtf8(": accepted\n\n")
        output.flush()
        while (true) {
            val progress = run.progress
            writeTokens(output, progress.produced)
            if (isFaultDue()) return interrupt()
            if (progress.endReason != null) return finish(output, progress)
            awaitChange(output, progress.state, changes)
        }
    }

    private suspend fun awaitChange(
        output: ByteWriteChannel,
        state: RunState,
        changes: ReceiveChannel<Unit>
    ) {
        val isWaiting = state == RunState.QUEUED || state == RunState.SUSPENDED
        if (!isWaiting) return changes.receive()
        while (withTimeoutOrNull(KEEP_ALIVE_MS) { changes.receive() } == null) {
            output.writeStringUtf8(": waiting\n\n")
            output.flush()
        }
    }

    private suspend fun writeTokens(output: ByteWriteChannel, produced: Int) {
        if (next >= produced) return
        val text = StringBuilder()
        while (next < produced && !isFaultDue()) {
            if (!isOmitted(next)) text.append("data: ").append(token(next)).append("\n\n")
            next++
        }
        output.writeStringUtf8(text.toString())
        output.flush()
    }

    private fun token(index: Int): String {
        val isMixed = fault == StreamFault.MIX && index >= faultAfterTokens
        val isSwapped = fault == StreamFault.SWAP_ID
        return if (isMixed || isSwapped) otherChunks.tokenChunk(index) else chunks.tokenChunk(index)
    }

    private fun isOmitted(index: Int): Boolean = when (fault) {
        StreamFault.SKIP -> index == faultAfterTokens
        StreamFault.SHORT -> index == run.maxTokens - 1
        else -> false
    }

    private fun isFaultDue(): Boolean {
        if (fault != StreamFault.FREEZE && fault != StreamFault.CUT) return false
        return next - offset >= faultAfterTokens
    }

    private suspend fun interrupt() {
        if (fault == StreamFault.FREEZE) delay(FREEZE_MS)
        cut()
    }

    private suspend fun finish(output: ByteWriteChannel, progress: RunProgress) {
        val reason = progress.endReason ?: return
        if (reason == EndReason.DONE) {
            output.writeStringUtf8("data: ${chunks.finalChunk(run)}\n\ndata: [DONE]\n\n")
        } else {
            output.writeStringUtf8("data: ${chunks.errorChunk(run, reason)}\n\n")
        }
        output.flush()
    }

    private companion object {
        const val KEEP_ALIVE_MS = 200L
        const val FREEZE_MS = 120_000L
    }
}
