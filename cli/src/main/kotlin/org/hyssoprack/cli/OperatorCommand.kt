package org.hyssoprack.cli

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

/** A subcommand that calls the operators' API. */
internal abstract class OperatorCommand(
    name: String,
    description: String,
    console: Console,
    environment: (String) -> String?
) : Command(name, description, console) {
    protected val options = ConnectionOptions(this, environment)

    override fun run(): Either<Failure, Unit> = either {
        val key = options.key().bind()
        val addresses = options.addresses().bind()
        runBlocking { OperatorApiClient(addresses, key).use { runWith(it) } }
    }

    /** Runs the command with [api]. */
    protected abstract suspend fun Raise<Failure>.runWith(api: OperatorApiClient)

    protected inline fun <reified T> Raise<Failure>.decode(text: String): T = try {
        JSON.decodeFromString<T>(text)
    } catch (e: SerializationException) {
        raise(Failure(ResultCode.INTERNAL, "the host's response cannot be parsed: ${e.message}"))
    }

    protected companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
