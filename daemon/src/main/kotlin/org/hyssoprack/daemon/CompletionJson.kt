package org.hyssoprack.daemon

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.hyssoprack.backend.EngineUsage
import org.hyssoprack.common.RequestId
import org.hyssoprack.host.AdmittedRequest

/** Builds and reads the JSON bodies of completions. */
internal object CompletionJson {
    private const val CHAT_PATH = "/v1/chat/completions"

    /** Returns the text of one stream chunk, or an empty string if it has none. */
    fun text(chunk: String): String {
        val choices = (Json.parseToJsonElement(chunk) as? JsonObject)?.get("choices") as? JsonArray
        val choice = choices?.firstOrNull() as? JsonObject ?: return ""
        val delta = choice["delta"] as? JsonObject
        return (choice["text"] ?: delta?.get("content")).let { (it as? JsonPrimitive)?.content }
            .orEmpty()
    }

    /** Returns the last chunk of a complete stream, with the token counts. */
    fun end(id: RequestId, usage: EngineUsage): String = buildJsonObject {
        put("id", id.value)
        putJsonArray("choices") {}
        putUsage(usage)
    }.toString()

    /** Returns the body of a response that is not streamed. */
    fun whole(request: AdmittedRequest, text: String, usage: EngineUsage): String {
        val chat = request.call.path == CHAT_PATH
        return buildJsonObject {
            put("id", request.id.value)
            put("object", if (chat) "chat.completion" else "text_completion")
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    if (chat) putMessage(text) else put("text", text)
                    put("finish_reason", "stop")
                }
            }
            putUsage(usage)
        }.toString()
    }

    private fun JsonObjectBuilder.putMessage(text: String) = putJsonObject("message") {
        put("role", "assistant")
        put("content", text)
    }

    private fun JsonObjectBuilder.putUsage(usage: EngineUsage) = putJsonObject("usage") {
        put("prompt_tokens", usage.promptTokens)
        put("cached_tokens", usage.cachedTokens)
        put("completion_tokens", usage.completionTokens)
        put("total_tokens", usage.promptTokens + usage.completionTokens)
    }
}
