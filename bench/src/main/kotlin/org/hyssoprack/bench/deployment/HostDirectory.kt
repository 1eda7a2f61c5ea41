package org.hyssoprack.bench.deployment

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.hyssoprack.bench.load.CallerTarget

/** Asks an entry host which addresses callers may use. */
internal object HostDirectory {
    private val http = HttpClient.newHttpClient()
    private val json = Json { ignoreUnknownKeys = true }

    /** The addresses that the host at [address] names; null if it does not answer. */
    fun read(address: String): List<CallerTarget>? {
        val request = HttpRequest.newBuilder(URI("http://$address/v1/hosts"))
            .timeout(Duration.ofSeconds(TIMEOUT_S))
            .build()
        val body = try {
            http.send(request, HttpResponse.BodyHandlers.ofString()).body()
        } catch (_: IOException) {
            return null
        }
        return json.decodeFromString<Answer>(body).hosts.map {
            CallerTarget(
                address = it.address,
                requestIdHead = "${it.host}~${it.incarnation}~"
            )
        }
    }

    @Serializable
    private class Answer(val hosts: List<Entry>)

    @Serializable
    private class Entry(val host: String, val incarnation: String, val address: String)

    private const val TIMEOUT_S = 2L
}
