package org.hyssoprack.standins.engine

import kotlinx.serialization.json.Json

/** Encodes the JSON of one response in the OpenAI format. */
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

    /** Returns the stream chunk of one token. */
    fun tokenChunk(index: Int): String =
        """{"id":$idJson,"token_index":$index$head$markerJson:$index $tail"""

    /** Returns the last chunk of a complete streamed response. */
    fun finalChunk(run: EngineRun): String {
        val choice = if (isChat) {
            """{"index":0,"delta":{},"finish_reason":"stop"}"""
        } else {
            """{"index":0,"text":"","finish_reason":"stop"}"""
        }
        return """{"id":$idJson,"choices":[$choice],${usage(run)}}"""
    }

    /** Returns the last chunk of an incomplete streamed response. */
    fun errorChunk(run: EngineRun, reason: EndReason): String =
        """{"id":$idJson,"error":{"type":"${reason.wireName}"},${usage(run)}}"""

    /** Returns the response to a request without streaming. */
    fun completeResponse(run: EngineRun): String {
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
