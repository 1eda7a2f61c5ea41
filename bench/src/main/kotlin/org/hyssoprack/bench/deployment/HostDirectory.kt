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

/** Fetches the addresses for callers from an entry host. */
internal object HostDirectory {
    private val http = HttpClient.newHttpClient()
    private val json = Json { ignoreUnknownKeys = true }

    /** Returns the addresses listed by the host at [address]; null if the request fails. */
    fun read(address: String): List<CallerTarget>? {
        val request = HttpRequest.newBuilder(URI("http://$address/v1/hosts"))
            .timeout(Duration.ofSeconds(TIMEOUT_S))
            .build()
        val body = try {
            http.send(request, HttpResponse.BodyHandlers.ofString()).body()
        } catch (_: IOException) {
            return null
        }
        return json.decodeFromString<HostListResponse>(body).hosts.map {
            CallerTarget(
                address = it.address,
                requestIdPrefix = "${it.host}~${it.incarnation}~"
            )
        }
    }

    @Serializable
    private class HostListResponse(val hosts: List<HostEntry>)

    @Serializable
    private class HostEntry(val host: String, val incarnation: String, val address: String)

    private const val TIMEOUT_S = 2L
}
