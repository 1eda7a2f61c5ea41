package org.hyssoprack.cli

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

/** A subcommand that talks to the operators' API. */
internal abstract class OperatorCommand(
    name: String,
    description: String,
    console: Console,
    environment: (String) -> String?
) : Command(name, description, console) {
    protected val options = KeyOptions(this, environment)

    override fun run(): Either<Failure, Unit> = either {
        val key = options.key().bind()
        val addresses = options.addresses().bind()
        runBlocking { OperatorApi(addresses, key).use { talk(it) } }
    }

    /** Does the command's work through [api]. */
    protected abstract suspend fun Raise<Failure>.talk(api: OperatorApi)

    protected inline fun <reified T> Raise<Failure>.decode(text: String): T = try {
        JSON.decodeFromString<T>(text)
    } catch (e: SerializationException) {
        raise(Failure(ResultCode.INTERNAL, "the host's answer is not understood: ${e.message}"))
    }

    protected companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
