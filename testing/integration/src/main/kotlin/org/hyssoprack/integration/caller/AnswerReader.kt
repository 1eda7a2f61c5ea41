package org.hyssoprack.integration.caller

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.contentType
import io.ktor.utils.io.readUTF8Line
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Reads the answer to one call and converts it to a [CallResult]. */
internal class AnswerReader(private val spec: CallSpec) {
    private val text = StringBuilder()
    private val answerIds = HashSet<String>()
    private var bundle = 0L

    suspend fun read(answer: HttpResponse): CallResult {
        bundle = answer.headers["X-Bundle-Version"]?.toLongOrNull() ?: 0
        answer.headers["X-Request-Id"]?.let(answerIds::add)
        val isStream = answer.contentType()?.contentSubtype == "event-stream"
        if (isStream) return readStream(answer)
        val body = answer.bodyAsText()
        // A result code header marks an answer from the plain service itself, whatever its status.
        val isServed = answer.status.value in SUCCESS || answer.headers[RESULT_CODE_HEADER] != null
        return if (isServed) completeAnswer(body, answer) else error(body)
    }

    /** Returns the result of a call whose answer failed with [cause], with the text read so far. */
    fun noAnswer(cause: Exception) = resultOf(CallOutcome.NO_ANSWER, detail = cause.toString())

    private suspend fun readStream(answer: HttpResponse): CallResult {
        val channel = answer.bodyAsChannel()
        var isError = false
        while (true) {
            val line = channel.readUTF8Line() ?: break
            if (line.startsWith(EVENT)) isError = line == "${EVENT}error"
            if (!line.startsWith(DATA)) continue
            val data = line.removePrefix(DATA)
            if (data == END_MARKER) return resultOf(CallOutcome.DONE, code = OK)
            if (isError) return error(data)
            readChunk(Json.parseToJsonElement(data).jsonObject)
        }
        return resultOf(CallOutcome.NO_ANSWER, detail = "stream ended without $END_MARKER")
    }

    private fun readChunk(chunk: JsonObject) {
        chunk["id"]?.jsonPrimitive?.contentOrNull?.let(answerIds::add)
        val choice = chunk["choices"]?.jsonArray?.firstOrNull()?.jsonObject ?: return
        choice["text"]?.jsonPrimitive?.contentOrNull?.let(text::append)
    }

    private fun completeAnswer(body: String, answer: HttpResponse): CallResult {
        val isCompletion = spec.kind == CallKind.LETTER || spec.kind == CallKind.QUESTION
        if (isCompletion) readChunk(Json.parseToJsonElement(body).jsonObject) else text.append(body)
        val code = answer.headers[RESULT_CODE_HEADER]?.toIntOrNull() ?: OK
        return resultOf(CallOutcome.DONE, code = code)
    }

    private fun error(body: String): CallResult = try {
        val error = Json.parseToJsonElement(body).jsonObject
        val outcome = when (error.getValue("outcome").jsonPrimitive.content) {
            "done" -> CallOutcome.DONE
            "not-run" -> CallOutcome.NOT_RUN
            else -> CallOutcome.UNKNOWN
        }
        val detail = error["detail"]?.jsonPrimitive?.contentOrNull.orEmpty()
        resultOf(outcome, code = error.getValue("number").jsonPrimitive.int, detail = detail)
    } catch (e: SerializationException) {
        resultOf(CallOutcome.NO_ANSWER, detail = "error body is not valid: $body")
    } catch (e: NoSuchElementException) {
        resultOf(CallOutcome.NO_ANSWER, detail = "error body is not valid: $body")
    }

    private fun resultOf(outcome: CallOutcome, code: Int = 0, detail: String = "") = CallResult(
        outcome = outcome,
        code = code,
        text = text.toString(),
        answerIds = answerIds.toSet(),
        bundle = bundle,
        detail = detail
    )

    private companion object {
        const val RESULT_CODE_HEADER = "X-Result-Code"
        const val EVENT = "event: "
        const val DATA = "data: "
        const val END_MARKER = "[DONE]"
        const val OK = 1000
        val SUCCESS = 200..299
    }
}
