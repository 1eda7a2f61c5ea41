package org.hyssoprack.integration.deployment

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Blocking HTTP calls with which a test controls processes. */
internal object Http {
    private const val CONNECT_TIMEOUT_MS = 2_000L
    private const val CALL_TIMEOUT_MS = 10_000L
    private const val READY_STEP_MS = 50L
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
        .build()

    /** Sends [body] and returns the answer, whatever its status. */
    fun send(method: String, url: String, body: String = "", bearer: String? = null): HttpAnswer {
        val request = HttpRequest.newBuilder(URI(url))
            .timeout(Duration.ofMillis(CALL_TIMEOUT_MS))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
        if (bearer != null) request.header("Authorization", "Bearer $bearer")
        val answer = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        return HttpAnswer(status = answer.statusCode(), body = answer.body())
    }

    /** Sends [body] and returns the body of the answer; throws if the status is not 2xx. */
    fun sendOrFail(method: String, url: String, body: String = "", bearer: String? = null): String {
        val answer = send(method, url, body, bearer)
        check(answer.isSuccess) {
            "$method $url: expected status 2xx, got ${answer.status} ${answer.body}"
        }
        return answer.body
    }

    /** Waits until [url] answers with any status; throws on a timeout or if the process ended. */
    fun awaitAnswer(url: String, timeoutMs: Long, isAlive: () -> Boolean) {
        val endNanos = System.nanoTime() + Duration.ofMillis(timeoutMs).toNanos()
        while (true) {
            try {
                send("GET", url)
                return
            } catch (e: IOException) {
                check(isAlive()) { "the process that serves $url has ended" }
                check(System.nanoTime() < endNanos) {
                    "$url did not answer within $timeoutMs ms: $e"
                }
                Thread.sleep(READY_STEP_MS)
            }
        }
    }
}
