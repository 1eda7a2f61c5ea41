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
 * Reads a response from one connection. Handles exceptions of network calls only; an exception of
 * the collector propagates unchanged.
 */
internal class AnswerConnection(
    private val server: BackendServer,
    private val call: EngineCall,
    private val answer: AnswerProgress,
    private val collector: FlowCollector<EngineEvent>,
    clock: Clock
) {
    private val readTimeout = ReadTimeout(clock = clock, timeoutMs = timeoutMs())
    private var hasHead = false

    /** Sends [statement] and emits the tokens of the response until the connection ends. */
    suspend fun read(statement: HttpStatement): ConnectionEnd = try {
        coroutineScope {
            val monitoring = readTimeout.monitor(this)
            readTimeout.arm()
            val end = statement.execute { response ->
                if (!readTimeout.disarm()) throw ReadTimeoutException()
                hasHead = true
                readAnswer(response)
            }
            monitoring.cancel()
            end
        }
    } catch (cause: CancellationException) {
        currentCoroutineContext().ensureActive()
        if (!readTimeout.hasExpired) throw cause
        timedOut()
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
        return readTokens(
            SseDataReader(input = response.bodyAsChannel(), readTimeout = readTimeout)
        )
    }

    private suspend fun readTokens(lines: SseDataReader): ConnectionEnd {
        while (true) {
            val data = try {
                lines.next()
            } catch (cause: IOException) {
                return if (readTimeout.hasExpired) timedOut() else broken(cause)
            }
            if (data == null) return broken(IOException("the stream ended without an end marker"))
            when (val step = answer.process(data)) {
                ChunkResult.Skip -> continue
                is ChunkResult.End -> return step.end
                is ChunkResult.Emit -> collector.emit(step.token)
            }
            readTimeout.setTimeout(timeoutMs())
        }
    }

    private fun timeoutMs(): Long =
        if (answer.nextIndex == 0) call.firstTokenTimeoutMs else call.tokenTimeoutMs

    private fun broken(cause: Throwable): ConnectionEnd = ConnectionEnd.Broken(
        TransportFailure.of(server, cause, otherwise = ResultCode.STREAM_BROKEN)
    )

    private fun timedOut(): ConnectionEnd {
        val detail = "${server.id} sent no data for ${timeoutMs()} ms on ${call.requestId}"
        return ConnectionEnd.Broken(Failure(code = ResultCode.STREAM_SILENT, detail = detail))
    }
}
