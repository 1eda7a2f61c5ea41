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

/** Serves one completion and writes its response, as a stream or as one body. */
internal class CompletionResponder(private val service: RequestService) {
    /** Serves [request]. The HTTP status is sent once the first token or a failure is available. */
    suspend fun respond(call: ApplicationCall, request: AdmittedRequest) = coroutineScope {
        val parts = Channel<ResponsePart>(PARTS_CAPACITY)
        val sink = ChannelSink(parts)
        val producer = launch {
            val end = service.complete(request, sink)
            end.failure?.let { parts.send(ResponsePart.Failed(it)) }
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
        parts: ReceiveChannel<ResponsePart>,
        sink: ChannelSink
    ) {
        when (val first = parts.receiveCatching().getOrNull()) {
            null -> call.respondFailure(
                Failure(ResultCode.INTERNAL, "The request ended without a response.")
            )
            is ResponsePart.Failed -> call.respondFailure(first.failure)
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
        first: ResponsePart,
        parts: ReceiveChannel<ResponsePart>,
        sink: ChannelSink
    ) = call.respondBytesWriter(contentType = ContentType.Text.EventStream) {
        var part: ResponsePart? = first
        while (part != null) {
            writeStringUtf8(streamText(request, part))
            val next = parts.tryReceive().getOrNull()
            if (next == null) flush()
            if (part is ResponsePart.Finished) sink.endWritten()
            part = next ?: parts.receiveCatching().getOrNull()
        }
    }

    private fun streamText(request: AdmittedRequest, part: ResponsePart): String = when (part) {
        is ResponsePart.Token -> "data: ${part.data}\n\n"
        is ResponsePart.Finished ->
            "data: ${CompletionJson.end(request.id, part.usage)}\n\ndata: [DONE]\n\n"
        is ResponsePart.Failed -> "event: error\ndata: ${ErrorBody.of(part.failure).json()}\n\n"
    }

    private suspend fun writeWhole(
        call: ApplicationCall,
        request: AdmittedRequest,
        first: ResponsePart,
        parts: ReceiveChannel<ResponsePart>,
        sink: ChannelSink
    ) {
        val text = StringBuilder()
        var part: ResponsePart? = first
        while (part is ResponsePart.Token) {
            text.append(CompletionJson.text(part.data))
            part = parts.receiveCatching().getOrNull()
        }
        when (part) {
            is ResponsePart.Finished -> {
                call.respondText(
                    text = CompletionJson.whole(request, text.toString(), part.usage),
                    contentType = ContentType.Application.Json
                )
                sink.endWritten()
            }

            is ResponsePart.Failed -> call.respondFailure(part.failure)
            else -> call.respondFailure(
                Failure(ResultCode.INTERNAL, "The response ended without a final part.")
            )
        }
    }

    private companion object {
        const val PARTS_CAPACITY = 64
    }
}
