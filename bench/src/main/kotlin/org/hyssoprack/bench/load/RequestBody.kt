package org.hyssoprack.bench.load

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.hyssoprack.backend.CompletionBody

/** Builds the JSON bodies of planned requests. */
object RequestBody {
    private const val FILLER = "lorem ipsum dolor sit amet consectetur "

    /** Returns the body of [request] for [model], with streaming enabled. */
    fun of(request: PlannedRequest, model: String): String = buildJsonObject {
        put("model", JsonPrimitive(model))
        put("prompt", JsonPrimitive(prompt(request)))
        put("max_tokens", JsonPrimitive(request.answerTokens))
        put("stream", JsonPrimitive(true))
        put("user", JsonPrimitive(request.marker))
    }.toString()

    private fun prompt(request: PlannedRequest): String {
        val group = request.prefixGroup
        val prefixTokens = request.traffic.prefixTokens
        val prefix = if (group == null) "" else text("prefix $group ", prefixTokens)
        val restTokens = maxOf(1, request.promptTokens - tokens(prefix))
        return prefix + text("request ${request.number} ", restTokens)
    }

    private fun text(beginning: String, tokens: Int): String {
        val chars = tokens * CompletionBody.CHARS_PER_TOKEN
        val repeats = chars / FILLER.length + 1
        return (beginning + FILLER.repeat(repeats)).take(chars)
    }

    private fun tokens(text: String): Int = text.length / CompletionBody.CHARS_PER_TOKEN
}
