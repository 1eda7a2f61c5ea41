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

/** Reads the answer to one call and decides what the caller was told. */
internal class AnswerReader(private val spec: CallSpec) {
    private val text = StringBuilder()
    private val ids = HashSet<String>()
    private var bundle = 0L

    suspend fun read(answer: HttpResponse): Told {
        bundle = answer.headers["X-Bundle-Version"]?.toLongOrNull() ?: 0
        answer.headers["X-Request-Id"]?.let(ids::add)
        val isStream = answer.contentType()?.contentSubtype == "event-stream"
        if (isStream) return readStream(answer)
        val body = answer.bodyAsText()
        // A plain service's own answer carries the result code, whatever its status is.
        val isServed = answer.status.value in SUCCESS || answer.headers[RESULT] != null
        return if (isServed) whole(body, answer) else error(body)
    }

    /** The answer broke off. */
    fun broken(cause: Exception) = told(ToldOutcome.NO_ANSWER, detail = cause.toString())

    private suspend fun readStream(answer: HttpResponse): Told {
        val channel = answer.bodyAsChannel()
        var isError = false
        while (true) {
            val line = channel.readUTF8Line() ?: break
            if (line.startsWith(EVENT)) isError = line == "${EVENT}error"
            if (!line.startsWith(DATA)) continue
            val data = line.removePrefix(DATA)
            if (data == END) return told(ToldOutcome.DONE, code = OK)
            if (isError) return error(data)
            token(Json.parseToJsonElement(data).jsonObject)
        }
        return told(ToldOutcome.NO_ANSWER, detail = "no end marker")
    }

    private fun token(chunk: JsonObject) {
        chunk["id"]?.jsonPrimitive?.contentOrNull?.let(ids::add)
        val choice = chunk["choices"]?.jsonArray?.firstOrNull()?.jsonObject ?: return
        choice["text"]?.jsonPrimitive?.contentOrNull?.let(text::append)
    }

    private fun whole(body: String, answer: HttpResponse): Told {
        val isCompletion = spec.kind == CallKind.LETTER || spec.kind == CallKind.QUESTION
        if (isCompletion) token(Json.parseToJsonElement(body).jsonObject) else text.append(body)
        val code = answer.headers[RESULT]?.toIntOrNull() ?: OK
        return told(ToldOutcome.DONE, code = code)
    }

    private fun error(body: String): Told = try {
        val error = Json.parseToJsonElement(body).jsonObject
        val outcome = when (error.getValue("outcome").jsonPrimitive.content) {
            "done" -> ToldOutcome.DONE
            "not-run" -> ToldOutcome.NOT_RUN
            else -> ToldOutcome.UNKNOWN
        }
        val detail = error["detail"]?.jsonPrimitive?.contentOrNull.orEmpty()
        told(outcome, code = error.getValue("number").jsonPrimitive.int, detail = detail)
    } catch (e: SerializationException) {
        told(ToldOutcome.NO_ANSWER, detail = "unreadable error: $body")
    } catch (e: NoSuchElementException) {
        told(ToldOutcome.NO_ANSWER, detail = "unreadable error: $body")
    }

    private fun told(outcome: ToldOutcome, code: Int = 0, detail: String = "") = Told(
        outcome = outcome,
        code = code,
        text = text.toString(),
        answerIds = ids.toSet(),
        bundle = bundle,
        detail = detail
    )

    private companion object {
        const val RESULT = "X-Result-Code"
        const val EVENT = "event: "
        const val DATA = "data: "
        const val END = "[DONE]"
        const val OK = 1000
        val SUCCESS = 200..299
    }
}
