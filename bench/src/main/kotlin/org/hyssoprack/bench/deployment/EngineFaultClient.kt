package org.hyssoprack.bench.deployment

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlinx.serialization.json.Json
import org.hyssoprack.standins.engine.EngineFaults

/** Sets the injected faults of an emulated engine over HTTP. */
internal object EngineFaultClient {
    private val http = HttpClient.newHttpClient()

    fun set(address: String, faults: EngineFaults) {
        val body = Json { encodeDefaults = true }.encodeToString(faults)
        val request = HttpRequest.newBuilder(URI("http://$address/faults"))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()
        val response = http.send(request, HttpResponse.BodyHandlers.ofString())
        check(response.statusCode() == 200) {
            "POST http://$address/faults: expected HTTP 200, got ${response.statusCode()}"
        }
    }
}
