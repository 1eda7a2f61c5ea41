package org.hyssoprack.cli

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.settings.AcceptedBundle
import org.hyssoprack.settings.Bundle

/** Reads bundles from a file, or from the hosts: the active one, or one by version or hash. */
internal class BundleSource(private val api: OperatorApiClient) {
    /** Returns a bundle's JSON. [name] is, in this order: a file, `active`, a version or a hash. */
    suspend fun json(name: String): Either<Failure, String> = either {
        val file = Path.of(name)
        when {
            Files.isRegularFile(file) -> read(file)
            name == ACTIVE -> fetch(activeHash())
            name.toLongOrNull() != null -> fetch(hashOf(name.toLong()))
            else -> fetch(name)
        }
    }

    /** Returns the bundle that [name] refers to, as in [json]. */
    suspend fun bundle(name: String): Either<Failure, Bundle> = either {
        decode<Bundle>(json(name).bind())
    }

    private suspend fun Raise<Failure>.activeHash(): String =
        decode<ActiveBundleResponse>(api.get("/v1/bundles/active").bind()).hash.value

    private suspend fun Raise<Failure>.fetch(hash: String): String =
        api.get("/v1/bundles/$hash").bind()

    private suspend fun Raise<Failure>.hashOf(version: Long): String {
        val history = decode<List<AcceptedBundle>>(api.get("/v1/bundles").bind())
        return history.firstOrNull { it.version.value == version }?.hash?.value
            ?: raise(
                Failure(ResultCode.BUNDLE_UNKNOWN, "version $version is not in the bundle history")
            )
    }

    private fun Raise<Failure>.read(file: Path): String = try {
        file.readText()
    } catch (e: IOException) {
        raise(Failure(ResultCode.SETTINGS_INVALID, "$file cannot be read: ${e.message}"))
    }

    private inline fun <reified T> Raise<Failure>.decode(text: String): T = try {
        JSON.decodeFromString<T>(text)
    } catch (e: SerializationException) {
        raise(
            Failure(
                ResultCode.SETTINGS_INVALID,
                "the JSON of the bundle cannot be parsed: ${e.message}"
            )
        )
    }

    companion object {
        const val ACTIVE = "active"
        private val JSON = Json { ignoreUnknownKeys = true }
    }
}
