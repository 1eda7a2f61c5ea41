package org.hyssoprack.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull
import org.hyssoprack.common.ErrorBody
import org.hyssoprack.common.Failure
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode

/** Checks the chunks of one streamed answer: request id, order, token count and end marker. */
internal class StreamValidator(private val id: RequestId) {
    private val json = Json { ignoreUnknownKeys = true }
    private var usage: CompletionUsage? = null

    /** Number of tokens received so far. */
    var tokens = 0
        private set

    /** Checks one event of the stream; returns null if there is nothing to emit to the caller. */
    fun accept(event: StreamEvent): Either<Failure, CompletionEvent?> = when {
        event.name == "error" -> ErrorBody.read(event.data).left()
        event.data == END_MARKER -> end()
        else -> chunk(event.data)
    }

    private fun end(): Either<Failure, CompletionEvent?> {
        val usage = usage ?: return broken("the stream ended without a token count").left()
        if (usage.completionTokens != tokens) {
            return broken("received $tokens of ${usage.completionTokens} tokens").left()
        }
        return CompletionEvent.Finished(requestId = id, usage = usage).right()
    }

    private fun chunk(data: String): Either<Failure, CompletionEvent?> {
        val chunk = Either.catch { json.parseToJsonElement(data) as? JsonObject }.getOrNull()
            ?: return broken("a chunk is not a JSON object").left()
        val chunkId = (chunk["id"] as? JsonPrimitive)?.content
        if (chunkId !=
            id.value
        ) {
            return mismatched("a chunk has id $chunkId, not ${id.value}").left()
        }
        if (usage != null) return broken("received a chunk after the token count").left()
        val choices = chunk["choices"] as? JsonArray
        if (choices.isNullOrEmpty()) return usage(chunk)
        return token(chunk, choices.first() as? JsonObject, data)
    }

    private fun usage(chunk: JsonObject): Either<Failure, CompletionEvent?> {
        val body = chunk["usage"] ?: return broken("a chunk has neither choices nor usage").left()
        return Either.catch { json.decodeFromJsonElement(CompletionUsage.serializer(), body) }
            .mapLeft { broken("the token count cannot be parsed") }
            .map { read ->
                usage = read
                null
            }
    }

    private fun token(
        chunk: JsonObject,
        choice: JsonObject?,
        data: String
    ): Either<Failure, CompletionEvent?> {
        val index = (chunk["token_index"] as? JsonPrimitive)?.intOrNull
        if (index != null && index != tokens) {
            return broken("received token $index; expected token $tokens").left()
        }
        val delta = choice?.get("delta") as? JsonObject
        val text = (choice?.get("text") ?: delta?.get("content")) as? JsonPrimitive
        val token = CompletionEvent.Token(tokens, text?.content.orEmpty(), data)
        tokens++
        return token.right()
    }

    private fun broken(detail: String) = Failure(ResultCode.STREAM_BROKEN, detail)

    private fun mismatched(detail: String) = Failure(ResultCode.ANSWER_MISMATCHED, detail)

    private companion object {
        const val END_MARKER = "[DONE]"
    }
}
