package org.hyssoprack.bench.deployment

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.json.Json
import org.hyssoprack.bench.load.AccountKeys
import org.hyssoprack.burn.BurnReport
import org.hyssoprack.burn.BurnSnapshot

/** Fetches the burn snapshots of all hosts and merges them into one service-level burn report. */
internal class BurnCollector(private val operators: List<String>) {
    private val http = HttpClient.newHttpClient()

    /** Returns the report; lists hosts that fail to respond as missing. Null if all hosts fail. */
    fun collect(): BurnReport? {
        val byHost = operators.associateWith(::fetchSnapshot)
        val merged = BurnSnapshot.merge(byHost.values.filterNotNull()) ?: return null
        return BurnReport.of(merged, missing = byHost.filterValues { it == null }.keys.toList())
    }

    private fun fetchSnapshot(operator: String): BurnSnapshot? {
        val request = HttpRequest.newBuilder(URI("http://$operator/v1/burn"))
            .timeout(Duration.ofSeconds(TIMEOUT_S))
            .header("Authorization", "Bearer ${AccountKeys.key(HostFleet.OPERATORS.first())}")
            .build()
        return try {
            val response = http.send(request, HttpResponse.BodyHandlers.ofString())
            if (response.statusCode() == OK) Json.decodeFromString(response.body()) else null
        } catch (_: IOException) {
            null
        }
    }

    private companion object {
        const val TIMEOUT_S = 5L
        const val OK = 200
    }
}
