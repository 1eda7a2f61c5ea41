package org.hyssoprack.standins.engine

import kotlinx.serialization.json.Json

/** Writes the JSON texts of one answer in OpenAI's form. */
internal class ChunkWriter(
    private val id: String,
    private val marker: String,
    private val model: String,
    private val isChat: Boolean
) {
    private val idJson = Json.encodeToString(id)
    private val markerJson = Json.encodeToString(marker).dropLast(1)
    private val tail = (if (isChat) "\"}" else "\"") + ""","finish_reason":null}]}"""
    private val head = if (isChat) {
        ""","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"""
    } else {
        ""","object":"text_completion","choices":[{"index":0,"text":"""
    }

    /** The stream chunk of one token. */
    fun token(index: Int): String =
        """{"id":$idJson,"token_index":$index$head$markerJson:$index $tail"""

    /** The last chunk of a whole answer. */
    fun last(run: EngineRun): String {
        val choice = if (isChat) {
            """{"index":0,"delta":{},"finish_reason":"stop"}"""
        } else {
            """{"index":0,"text":"","finish_reason":"stop"}"""
        }
        return """{"id":$idJson,"choices":[$choice],${usage(run)}}"""
    }

    /** The last chunk of an answer that is not whole. */
    fun error(run: EngineRun, reason: EndReason): String =
        """{"id":$idJson,"error":{"type":"${reason.wireName}"},${usage(run)}}"""

    /** The whole answer of a request without a stream. */
    fun whole(run: EngineRun): String {
        val text = (0 until run.produced).joinToString("") { TokenText.of(marker, it) }
        val textJson = Json.encodeToString(text)
        val choice = if (isChat) {
            """{"index":0,"message":{"role":"assistant","content":$textJson},"finish_reason":"stop"}"""
        } else {
            """{"index":0,"text":$textJson,"finish_reason":"stop"}"""
        }
        val modelJson = Json.encodeToString(model)
        return """{"id":$idJson,"model":$modelJson,"choices":[$choice],""" +
            "${usage(run)}}"
    }

    private fun usage(run: EngineRun): String =
        """"usage":{"prompt_tokens":${run.promptTokens},"cached_tokens":${run.cachedTokens},""" +
            """"completion_tokens":${run.produced}}"""
}
