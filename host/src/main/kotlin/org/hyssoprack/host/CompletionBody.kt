package org.hyssoprack.host

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.ResultCode

/**
 * What the scheduler needs to know of a completion's JSON body.
 *
 * @property maxTokens longest answer that the caller accepts, in tokens.
 */
internal data class CompletionBody(
    val model: ModelId,
    val prompt: String,
    val maxTokens: Int,
    val stream: Boolean
) {
    companion object {
        private const val DEFAULT_MAX_TOKENS = 256
        private const val TOKENS_LIMIT = 1_000_000

        /** Reads the body of `/v1/completions` or `/v1/chat/completions`. */
        fun parse(text: String): Either<Failure, CompletionBody> {
            val json = try {
                Json.parseToJsonElement(text)
            } catch (e: SerializationException) {
                return invalid("The body is not JSON.")
            }
            if (json !is JsonObject) return invalid("The body is not a JSON object.")
            val model = text(json["model"]) ?: return invalid("The field 'model' is missing.")
            val prompt = text(json["prompt"]) ?: chat(json["messages"])
                ?: return invalid("Neither 'prompt' nor 'messages' holds a text.")
            val maxTokens = number(json["max_tokens"]) ?: DEFAULT_MAX_TOKENS
            if (maxTokens !in 1..TOKENS_LIMIT) {
                return invalid("The field 'max_tokens' is not from 1 to $TOKENS_LIMIT.")
            }
            val stream = (json["stream"] as? JsonPrimitive)?.booleanOrNull ?: false
            return CompletionBody(ModelId(model), prompt, maxTokens, stream).right()
        }

        private fun text(element: JsonElement?): String? =
            (element as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull

        private fun number(element: JsonElement?): Int? = when (element) {
            null -> null
            else -> (element as? JsonPrimitive)?.intOrNull ?: -1
        }

        private fun chat(element: JsonElement?): String? {
            val messages = element as? JsonArray ?: return null
            val parts = messages.map { text((it as? JsonObject)?.get("content")) ?: return null }
            return if (parts.isEmpty()) null else parts.joinToString("\n")
        }

        private fun invalid(detail: String) = Failure(ResultCode.BODY_INVALID, detail).left()
    }
}
