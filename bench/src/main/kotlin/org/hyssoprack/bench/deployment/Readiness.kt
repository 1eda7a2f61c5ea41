package org.hyssoprack.bench.deployment

import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import org.hyssoprack.bench.load.AccountKeys

/** Waits for processes to be ready. */
internal object Readiness {
    private const val LIMIT_MS = 60_000L
    private const val POLL_INTERVAL_MS = 100L
    private const val CONNECT_TIMEOUT_MS = 500
    private const val TIMEOUT_S = 5L
    private val http = HttpClient.newHttpClient()

    /** Waits until a process accepts connections at [address]. */
    fun awaitOpen(address: String) = await("$address to listen") { isOpen(address) }

    /** Waits until the host at [address] has an active policy that includes [account]. */
    fun awaitServing(address: String, account: String) =
        await("$address to activate a policy with account $account") { isServing(address, account) }

    private fun await(what: String, isReady: () -> Boolean) {
        val endMs = System.currentTimeMillis() + LIMIT_MS
        while (!isReady()) {
            check(System.currentTimeMillis() < endMs) {
                "timed out after $LIMIT_MS ms waiting for $what"
            }
            Thread.sleep(POLL_INTERVAL_MS)
        }
    }

    private fun isOpen(address: String): Boolean = try {
        val (ip, port) = address.split(':')
        Socket().use { it.connect(InetSocketAddress(ip, port.toInt()), CONNECT_TIMEOUT_MS) }
        true
    } catch (_: IOException) {
        false
    }

    // Once the policy includes the account, a body without a prompt is rejected as invalid.
    private fun isServing(address: String, account: String): Boolean {
        val request = HttpRequest.newBuilder(URI("http://$address/v1/completions"))
            .timeout(Duration.ofSeconds(TIMEOUT_S))
            .header("Authorization", "Bearer ${AccountKeys.key(account)}")
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build()
        return try {
            val response = http.send(request, HttpResponse.BodyHandlers.ofString())
            response.statusCode() in setOf(400, 404)
        } catch (_: IOException) {
            false
        }
    }
}
