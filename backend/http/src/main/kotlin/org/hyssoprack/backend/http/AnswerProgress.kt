package org.hyssoprack.backend.http

import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.backend.EngineUsage
import org.hyssoprack.common.Failure
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode

/** The received part of one response, over all of its connections. */
internal class AnswerProgress(private val id: RequestId) {
    private val chunks = ChunkReader(id)
    private var usage: EngineUsage? = null

    /** Index of the next expected token. */
    var nextIndex = 0
        private set
    var isAccepted = false

    /** Usage as far as known: reported by the engine, or else the number of received tokens. */
    val knownUsage: EngineUsage get() = usage ?: EngineUsage(completionTokens = nextIndex)

    /** Processes the content of one `data:` line. */
    fun process(data: String): ChunkResult {
        if (data == END_MARKER) return ChunkResult.End(end())
        val chunk = chunks.read(data)
            ?: return failed(
                ResultCode.BACKEND_FAILED,
                "$id: stream chunk is not the expected JSON"
            )
        if (chunk.id != id.value) {
            return failed(ResultCode.ANSWER_MISMATCHED, "expected chunk of $id, found ${chunk.id}")
        }
        chunk.usage?.let { usage = it.toEngineUsage() }
        chunk.error?.let { return failed(ResultCode.BACKEND_FAILED, "engine error: ${it.type}") }
        return token(chunk.tokenIndex ?: return ChunkResult.Skip, data)
    }

    /** Returns the event that ends the response with [failure]. */
    fun failedBy(failure: Failure) = EngineEvent.Failed(failure = failure, usage = knownUsage)

    private fun token(index: Int, data: String): ChunkResult {
        if (index < nextIndex) return ChunkResult.Skip
        if (index > nextIndex) {
            return ChunkResult.End(broken("expected token $nextIndex, found $index"))
        }
        nextIndex++
        return ChunkResult.Emit(EngineEvent.Token(index = index, data = data))
    }

    private fun end(): ConnectionEnd {
        val count = usage?.completionTokens
        return when {
            count == null -> broken("end marker without a token count")
            count == nextIndex -> ConnectionEnd.Settled(EngineEvent.Finished(knownUsage))
            else -> broken("received $nextIndex of $count tokens")
        }
    }

    private fun broken(detail: String): ConnectionEnd =
        ConnectionEnd.Broken(Failure(code = ResultCode.STREAM_BROKEN, detail = "$id: $detail"))

    private fun failed(code: ResultCode, detail: String): ChunkResult {
        val event = failedBy(Failure(code = code, detail = detail))
        return ChunkResult.End(ConnectionEnd.Settled(event))
    }

    private companion object {
        const val END_MARKER = "[DONE]"
    }
}
