package org.hyssoprack.backend.http

import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.backend.EngineUsage
import org.hyssoprack.common.Failure
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode

/** What has arrived of one answer, over all of its connections. */
internal class AnswerProgress(private val id: RequestId) {
    private val chunks = ChunkReader(id)
    private var usage: EngineUsage? = null

    /** Index of the token that comes next. */
    var nextIndex = 0
        private set
    var isAccepted = false

    /** Work done as far as known. */
    val knownUsage: EngineUsage get() = usage ?: EngineUsage(completionTokens = nextIndex)

    /** Takes the content of one `data:` line. */
    fun take(data: String): ChunkResult {
        if (data == END_MARKER) return ChunkResult.End(end())
        val chunk = chunks.read(data) ?: return failed(ResultCode.BACKEND_FAILED, "bad chunk")
        if (chunk.id != id.value) {
            return failed(ResultCode.ANSWER_MISMATCHED, "a chunk of $id carries ${chunk.id}")
        }
        chunk.usage?.let { usage = it.toEngineUsage() }
        chunk.error?.let { return failed(ResultCode.BACKEND_FAILED, "the engine said ${it.type}") }
        return token(chunk.tokenIndex ?: return ChunkResult.Skip, data)
    }

    /** The event that ends the answer with [failure]. */
    fun failedBy(failure: Failure) = EngineEvent.Failed(failure = failure, usage = knownUsage)

    private fun token(index: Int, data: String): ChunkResult {
        if (index < nextIndex) return ChunkResult.Skip
        if (index > nextIndex) return ChunkResult.End(broken("token $nextIndex is missing"))
        nextIndex++
        return ChunkResult.Emit(EngineEvent.Token(index = index, data = data))
    }

    private fun end(): ConnectionEnd {
        val count = usage?.completionTokens
        return when {
            count == null -> broken("the end marker came without a count")
            count == nextIndex -> ConnectionEnd.Settled(EngineEvent.Finished(knownUsage))
            else -> broken("$nextIndex of $count tokens came")
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
