package org.hyssoprack.bench.deployment

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.hyssoprack.bench.load.AccountKeys

/** Activates a policy through the operator API of one host. */
internal class BundleRollout(private val operators: String) {
    private val http = HttpClient.newHttpClient()
    private val proposer = HostFleet.OPERATORS[0]
    private val reviewer = HostFleet.OPERATORS[1]

    /** Proposes, signs off and accepts the first bundle of a deployment. */
    fun rollOut(policy: String, accounts: List<String>) {
        val proposed = post("/v1/bundles", proposer, bundle(policy, accounts))
        val hash = Json.parseToJsonElement(proposed).jsonObject["hash"]!!.jsonPrimitive.content
        post("/v1/bundles/$hash/sign-off", reviewer)
        post("/v1/bundles/$hash/accept?base=0", proposer)
    }

    private fun bundle(policy: String, accounts: List<String>): String = buildJsonObject {
        put("policy", policy)
        putJsonArray("accounts") {
            accounts.forEach {
                addJsonObject {
                    put("name", it)
                    putJsonArray("keyHashes") { add(AccountKeys.hash(it)) }
                }
            }
        }
    }.toString()

    private fun post(path: String, operator: String, body: String = ""): String {
        val request = HttpRequest.newBuilder(URI("http://$operators$path"))
            .timeout(Duration.ofSeconds(TIMEOUT_S))
            .header("Authorization", "Bearer ${AccountKeys.key(operator)}")
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()
        val response = http.send(request, HttpResponse.BodyHandlers.ofString())
        check(response.statusCode() in SUCCESS) {
            "POST $path: expected HTTP 2xx, got ${response.statusCode()}: ${response.body()}"
        }
        return response.body()
    }

    private companion object {
        const val TIMEOUT_S = 10L
        val SUCCESS = 200..299
    }
}
