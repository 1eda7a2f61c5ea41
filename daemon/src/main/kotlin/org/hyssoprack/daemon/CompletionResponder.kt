package org.hyssoprack.daemon

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.hyssoprack.common.ErrorBody
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.host.AdmittedRequest
import org.hyssoprack.host.RequestService

/** Serves one completion and writes its answer, as a stream or as one body. */
internal class CompletionResponder(private val service: RequestService) {
    /** Serves [request]; the status is sent only when the first token or the failure is known. */
    suspend fun respond(call: ApplicationCall, request: AdmittedRequest) = coroutineScope {
        val parts = Channel<AnswerPart>(PARTS_CAPACITY)
        val sink = ChannelSink(parts)
        val producer = launch {
            val end = service.complete(request, sink)
            end.failure?.let { parts.send(AnswerPart.Failed(it)) }
            parts.close()
        }
        try {
            write(call, request, parts, sink)
        } finally {
            sink.writerStopped()
            parts.cancel()
            producer.cancel()
        }
    }

    private suspend fun write(
        call: ApplicationCall,
        request: AdmittedRequest,
        parts: ReceiveChannel<AnswerPart>,
        sink: ChannelSink
    ) {
        when (val first = parts.receiveCatching().getOrNull()) {
            null -> call.respondFailure(Failure(ResultCode.INTERNAL, "The request has no end."))
            is AnswerPart.Failed -> call.respondFailure(first.failure)
            else -> if (request.stream) {
                writeStream(call, request, first, parts, sink)
            } else {
                writeWhole(call, request, first, parts, sink)
            }
        }
    }

    private suspend fun writeStream(
        call: ApplicationCall,
        request: AdmittedRequest,
        first: AnswerPart,
        parts: ReceiveChannel<AnswerPart>,
        sink: ChannelSink
    ) = call.respondBytesWriter(contentType = ContentType.Text.EventStream) {
        var part: AnswerPart? = first
        while (part != null) {
            writeStringUtf8(streamText(request, part))
            val next = parts.tryReceive().getOrNull()
            if (next == null) flush()
            if (part is AnswerPart.Finished) sink.endWritten()
            part = next ?: parts.receiveCatching().getOrNull()
        }
    }

    private fun streamText(request: AdmittedRequest, part: AnswerPart): String = when (part) {
        is AnswerPart.Token -> "data: ${part.data}\n\n"
        is AnswerPart.Finished ->
            "data: ${CompletionJson.end(request.id, part.usage)}\n\ndata: [DONE]\n\n"
        is AnswerPart.Failed -> "event: error\ndata: ${ErrorBody.of(part.failure).json()}\n\n"
    }

    private suspend fun writeWhole(
        call: ApplicationCall,
        request: AdmittedRequest,
        first: AnswerPart,
        parts: ReceiveChannel<AnswerPart>,
        sink: ChannelSink
    ) {
        val text = StringBuilder()
        var part: AnswerPart? = first
        while (part is AnswerPart.Token) {
            text.append(CompletionJson.text(part.data))
            part = parts.receiveCatching().getOrNull()
        }
        when (part) {
            is AnswerPart.Finished -> {
                call.respondText(
                    text = CompletionJson.whole(request, text.toString(), part.usage),
                    contentType = ContentType.Application.Json
                )
                sink.endWritten()
            }

            is AnswerPart.Failed -> call.respondFailure(part.failure)
            else -> call.respondFailure(Failure(ResultCode.INTERNAL, "The answer has no end."))
        }
    }

    private companion object {
        const val PARTS_CAPACITY = 64
    }
}
