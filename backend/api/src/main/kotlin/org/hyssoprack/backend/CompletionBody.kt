package org.hyssoprack.backend

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import org.hyssoprack.common.ModelId

/**
 * The parts of an OpenAI-compatible completion body that entry hosts and engines read.
 *
 * @property prompt the prompt; for a chat, one line `role: content` per message.
 * @property maxTokens maximum length of the completion in tokens; null if the body sets no limit.
 */
data class CompletionBody(
    val model: ModelId?,
    val prompt: String,
    val maxTokens: Int?,
    val stream: Boolean,
    val user: String?
) {
    /** Estimated length of the prompt in tokens. */
    val promptTokens: Int get() = (prompt.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN

    companion object {
        /** Mean number of characters per token, for estimates. */
        const val CHARS_PER_TOKEN = 4

        /** Parses [json]; null if it is not a JSON object with a prompt or messages. */
        fun parse(json: String): CompletionBody? {
            val body = jsonObject(json) ?: return null
            val prompt = text(body["prompt"]) ?: chat(body["messages"]) ?: return null
            return CompletionBody(
                model = text(body["model"])?.let(::ModelId),
                prompt = prompt,
                maxTokens = primitive(body["max_tokens"])?.intOrNull,
                stream = primitive(body["stream"])?.booleanOrNull ?: false,
                user = text(body["user"])
            )
        }

        private fun jsonObject(json: String): JsonObject? = try {
            Json.parseToJsonElement(json) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

        private fun chat(messages: JsonElement?): String? {
            val list = messages as? JsonArray ?: return null
            return list.joinToString("\n") { message ->
                val fields = message as? JsonObject
                "${text(fields?.get("role"))}: ${text(fields?.get("content"))}"
            }
        }

        private fun text(element: JsonElement?): String? =
            primitive(element)?.takeIf { it.isString }?.contentOrNull

        private fun primitive(element: JsonElement?): JsonPrimitive? = element as? JsonPrimitive
    }
}
