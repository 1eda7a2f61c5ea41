package org.hyssoprack.cli

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.hyssoprack.client.CompletionCall
import org.hyssoprack.client.CompletionEvent
import org.hyssoprack.client.HyssoprackClient
import org.hyssoprack.client.ServiceRequest
import org.hyssoprack.common.Failure
import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.ServiceId

/** Requests a completion and prints the tokens as they arrive. */
internal class CompleteCommand(console: Console, environment: (String) -> String?) :
    Command("complete", "Ask a model for a completion, as a caller", console) {
    private val options = ConnectionOptions(this, environment)
    private val model by argument(ArgType.String, description = "model")
    private val prompt by argument(ArgType.String, description = "prompt")
    private val lane by option(ArgType.String, description = "lane of the request")
    private val maxTokens by option(ArgType.Int, "max-tokens", description = "token limit")
        .default(DEFAULT_TOKENS)
    private val deadlineMs by option(ArgType.Int, "deadline-ms", description = "time limit in ms")
        .default(DEFAULT_DEADLINE_MS)

    override fun run(): Either<Failure, Unit> = either {
        val client = HyssoprackClient(options.addresses().bind(), options.key().bind())
        var failure: Failure? = null
        runBlocking {
            client.use {
                it.complete(call()).collect { event ->
                    when (event) {
                        is CompletionEvent.Token -> console.print(event.text)
                        is CompletionEvent.Finished -> console.printLine("")
                        is CompletionEvent.Failed -> failure = event.failure
                    }
                }
            }
        }
        failure?.let { raise(it) }
    }

    private fun call() = CompletionCall(
        body = JsonObject(
            mapOf(
                "model" to JsonPrimitive(model),
                "prompt" to JsonPrimitive(prompt),
                "max_tokens" to JsonPrimitive(maxTokens)
            )
        ),
        deadlineMs = deadlineMs.toLong(),
        lane = lane
    )

    private companion object {
        const val DEFAULT_TOKENS = 64
        const val DEFAULT_DEADLINE_MS = 30_000
    }
}

/** Calls a plain service and prints its answer. */
internal class CallCommand(console: Console, environment: (String) -> String?) :
    Command("call", "Call a plain service, as a caller", console) {
    private val options = ConnectionOptions(this, environment)
    private val service by argument(ArgType.String, description = "service")
    private val path by argument(ArgType.String, description = "path after the service's name")
    private val method by option(ArgType.String, description = "HTTP method").default("POST")
    private val body by option(ArgType.String, description = "body").default("")
    private val idempotencyKey by option(
        ArgType.String,
        fullName = "idempotency-key",
        description = "key of a call that may not be repeated; the same for all of its attempts"
    )
    private val deadlineMs by option(ArgType.Int, "deadline-ms", description = "time limit in ms")
        .default(DEFAULT_DEADLINE_MS)

    override fun run(): Either<Failure, Unit> = either {
        val client = HyssoprackClient(options.addresses().bind(), options.key().bind())
        val request = ServiceRequest(
            service = ServiceId(service),
            path = path,
            deadlineMs = deadlineMs.toLong(),
            method = method,
            body = body.encodeToByteArray(),
            idempotencyKey = idempotencyKey?.let { IdempotencyKey(it) }
        )
        val answer = runBlocking { client.use { it.call(request) } }.bind()
        if (answer.recorded) console.printNotice("recorded answer of an earlier attempt")
        console.printLine(answer.body.decodeToString())
    }

    private companion object {
        const val DEFAULT_DEADLINE_MS = 10_000
    }
}
