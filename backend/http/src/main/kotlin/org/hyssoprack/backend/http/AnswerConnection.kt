package org.hyssoprack.backend.http

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsChannel
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.FlowCollector
import org.hyssoprack.backend.EngineCall
import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.BackendServer

/**
 * Reads an answer from one connection. Only calls to the network are guarded: an exception of the
 * collector passes through unchanged.
 */
internal class AnswerConnection(
    private val server: BackendServer,
    private val call: EngineCall,
    private val answer: AnswerProgress,
    private val collector: FlowCollector<EngineEvent>,
    clock: Clock
) {
    private val watch = ReadTimeout(clock = clock, timeoutMs = timeoutMs())
    private var hasHead = false

    /** Sends [statement] and passes the tokens of its answer on until the connection is over. */
    suspend fun read(statement: HttpStatement): ConnectionEnd = try {
        coroutineScope {
            val watching = watch.watch(this)
            watch.arm()
            val end = statement.execute { response ->
                if (!watch.disarm()) throw ReadTimeoutException()
                hasHead = true
                readAnswer(response)
            }
            watching.cancel()
            end
        }
    } catch (cause: CancellationException) {
        currentCoroutineContext().ensureActive()
        if (!watch.hasFired) throw cause
        silent()
    } catch (cause: IOException) {
        if (hasHead) throw cause
        broken(cause)
    }

    private suspend fun readAnswer(response: HttpResponse): ConnectionEnd {
        ResponseValidator.failure(server, call.requestId, response)?.let {
            return ConnectionEnd.Settled(answer.failedBy(it))
        }
        if (!answer.isAccepted) {
            answer.isAccepted = true
            collector.emit(EngineEvent.Accepted)
        }
        return readTokens(SseDataReader(input = response.bodyAsChannel(), watch = watch))
    }

    private suspend fun readTokens(lines: SseDataReader): ConnectionEnd {
        while (true) {
            val data = try {
                lines.next()
            } catch (cause: IOException) {
                return if (watch.hasFired) silent() else broken(cause)
            }
            if (data == null) return broken(IOException("the stream ended early"))
            when (val step = answer.take(data)) {
                ChunkResult.Skip -> continue
                is ChunkResult.End -> return step.end
                is ChunkResult.Emit -> collector.emit(step.token)
            }
            watch.allow(timeoutMs())
        }
    }

    private fun timeoutMs(): Long =
        if (answer.nextIndex == 0) call.firstTokenTimeoutMs else call.tokenTimeoutMs

    private fun broken(cause: Throwable): ConnectionEnd = ConnectionEnd.Broken(
        TransportFailure.of(server, cause, otherwise = ResultCode.STREAM_BROKEN)
    )

    private fun silent(): ConnectionEnd {
        val detail = "${server.id} sent nothing for ${timeoutMs()} ms on ${call.requestId}"
        return ConnectionEnd.Broken(Failure(code = ResultCode.STREAM_SILENT, detail = detail))
    }
}
