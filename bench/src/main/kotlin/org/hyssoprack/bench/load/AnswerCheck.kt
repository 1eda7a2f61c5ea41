package org.hyssoprack.bench.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads the stream of one answer and checks that it is the whole answer to its request. */
internal class AnswerCheck(private val planned: PlannedRequest) {
    private var expectsError = false
    private var usage: Usage? = null

    /** Tokens that have come. */
    var tokens = 0
        private set

    /** True once the end marker has come. */
    var hasEnded = false
        private set

    /** True if a token was not the expected one. */
    var isWrong = false
        private set

    /** The error that ended the stream, if any. */
    var error: ErrorAnswer? = null
        private set

    /** True if the answer is whole. */
    val isWhole: Boolean
        get() = hasEnded && tokens == planned.answerTokens && usage?.completionTokens == tokens

    /** Takes one line of the stream; true if it held a token. */
    fun take(line: String): Boolean {
        if (line.startsWith(ERROR_EVENT)) expectsError = true
        if (!line.startsWith(DATA)) return false
        val data = line.substring(DATA.length)
        if (data == END_MARKER) {
            hasEnded = true
            return false
        }
        if (expectsError) {
            error = ErrorAnswer.parse(data)
            return false
        }
        return takeChunk(data)
    }

    private fun takeChunk(data: String): Boolean {
        // Token texts hold no quotes, so that looking for the quoted text is exact.
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
