package org.hyssoprack.bench.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Parses a streamed response and verifies that it is the complete response to [planned]. */
internal class ResponseVerifier(private val planned: PlannedRequest) {
    private var expectsError = false
    private var usage: Usage? = null

    /** Number of tokens received. */
    var tokens = 0
        private set

    /** True once the end marker was received. */
    var hasEnded = false
        private set

    /** True if a token other than the expected one was received. */
    var isWrong = false
        private set

    /** The error that ended the stream, if any. */
    var error: ErrorResponse? = null
        private set

    /** True if all tokens, a matching usage count and the end marker were received. */
    val isComplete: Boolean
        get() = hasEnded && tokens == planned.answerTokens && usage?.completionTokens == tokens

    /** Processes one line of the stream; returns true if it held the next token. */
    fun accept(line: String): Boolean {
        if (line.startsWith(ERROR_EVENT)) expectsError = true
        if (!line.startsWith(DATA)) return false
        val data = line.substring(DATA.length)
        if (data == END_MARKER) {
            hasEnded = true
            return false
        }
        if (expectsError) {
            error = ErrorResponse.parse(data)
            return false
        }
        return acceptChunk(data)
    }

    private fun acceptChunk(data: String): Boolean {
        // Token texts contain no quotes, so a search for the quoted text is exact.
        if (data.contains("\"${planned.marker}:$tokens \"")) {
            tokens++
            return true
        }
        val chunk = try {
            JSON.decodeFromString<Chunk>(data)
        } catch (_: SerializationException) {
            null
        }
        if (chunk?.usage != null) usage = chunk.usage
        if (chunk == null || chunk.choices.any { !it.text.isNullOrEmpty() }) isWrong = true
        return false
    }

    @Serializable
    private class Chunk(val choices: List<Choice> = emptyList(), val usage: Usage? = null)

    @Serializable
    private class Choice(val text: String? = null)

    @Serializable
    private class Usage(@SerialName("completion_tokens") val completionTokens: Int)

    private companion object {
        const val DATA = "data: "
        const val ERROR_EVENT = "event: error"
        const val END_MARKER = "[DONE]"
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
