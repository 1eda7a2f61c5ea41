package org.hyssoprack.integration.caller

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.http.HttpMethod
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.hyssoprack.common.Clock
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.SystemClock
import org.hyssoprack.integration.deployment.BackendsUnderTest
import org.hyssoprack.integration.deployment.HostUnderTest
import org.hyssoprack.integration.deployment.TestPolicy

/** Makes calls and records the result of each attempt. */
class Caller(
    private val clock: Clock = SystemClock,
    private val callTimeoutMs: Long = CALL_TIMEOUT_MS
) : AutoCloseable {
    private val finishedCalls = ConcurrentLinkedQueue<CallRecord>()
    private val idsByContent = ConcurrentHashMap<String, MutableSet<String>>()
    private val lastSuffix = AtomicLong()
    private val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout)
        engine {
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
        }
    }

    /** All finished attempts, in the order in which they finished. */
    val records: List<CallRecord> get() = finishedCalls.toList()

    /** Makes a first attempt under a new request id. */
    suspend fun call(host: HostUnderTest, spec: CallSpec): CallRecord {
        val ref =
            checkNotNull(host.ref) {
                "${host.name} is not yet in its own response to GET /v1/hosts"
            }
        val id = RequestId.of(ref, "c${lastSuffix.incrementAndGet()}").value
        return attempt(host, spec, id, isFirst = true)
    }

    /** Retries the call of [record] through [host] with the same request id. */
    suspend fun retry(host: HostUnderTest, record: CallRecord): CallRecord =
        attempt(host, record.spec, record.requestId, isFirst = false)

    /** Returns all request ids under which the call of [spec] was sent so far. */
    fun idsOf(spec: CallSpec): Set<String> = idsByContent[spec.content].orEmpty()

    override fun close() = client.close()

    private suspend fun attempt(
        host: HostUnderTest,
        spec: CallSpec,
        id: String,
        isFirst: Boolean
    ): CallRecord {
        val incarnation = host.ref?.incarnation.toString()
        idsByContent.computeIfAbsent(spec.content) { ConcurrentHashMap.newKeySet() }.add(id)
        val sentMs = clock.epochMs()
        val result = send(host, spec, id, isFirst)
        return CallRecord(spec, id, host.name, incarnation, sentMs, clock.epochMs(), result)
            .also(finishedCalls::add)
    }

    private suspend fun send(
        host: HostUnderTest,
        spec: CallSpec,
        id: String,
        isFirst: Boolean
    ): CallResult {
        val answer = AnswerReader(spec)
        return try {
            client.prepareRequest("http://${host.callerAddress}${pathOf(spec)}") {
                build(spec, id, isFirst)
            }.execute { answer.read(it) }
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            answer.noAnswer(e)
        } catch (e: ConnectException) {
            CallResult(CallOutcome.NOT_SENT, detail = e.toString())
        } catch (e: ConnectTimeoutException) {
            CallResult(CallOutcome.NOT_SENT, detail = e.toString())
        } catch (e: Exception) {
            answer.noAnswer(e)
        }
    }

    private fun HttpRequestBuilder.build(spec: CallSpec, id: String, isFirst: Boolean) {
        method = if (spec.kind == CallKind.LOOKUP) HttpMethod.Get else HttpMethod.Post
        timeout {
            connectTimeoutMillis = CONNECT_TIMEOUT_MS
            requestTimeoutMillis = callTimeoutMs
            socketTimeoutMillis = callTimeoutMs
        }
        header("Authorization", "Bearer ${TestPolicy.keyOf(accountOf(spec))}")
        header("X-Request-Id", id)
        if (isFirst) header("X-Attempt", "1")
        spec.deadlineMs?.let { header("X-Deadline-Ms", it.toString()) }
        if (spec.kind == CallKind.LETTER) header("X-Lane", "letters")
        if (spec.kind == CallKind.BOOKING) header("Idempotency-Key", spec.key)
        bodyOf(spec)?.let { setBody(it) }
    }

    private fun accountOf(spec: CallSpec) =
        if (spec.kind == CallKind.QUESTION) TestPolicy.OTHER_ACCOUNT else TestPolicy.ACCOUNT

    private fun pathOf(spec: CallSpec) = when (spec.kind) {
        CallKind.LETTER, CallKind.QUESTION -> "/v1/completions"
        CallKind.BOOKING -> "/v1/services/${BackendsUnderTest.SERVICE}/orders/confirm"
        CallKind.LOOKUP -> "/v1/services/${BackendsUnderTest.SERVICE}/kits/${spec.content}"
    }

    private fun bodyOf(spec: CallSpec): String? = when (spec.kind) {
        CallKind.LETTER, CallKind.QUESTION -> buildJsonObject {
            put("model", BackendsUnderTest.MODEL)
            put("prompt", "Write about ${spec.content}.")
            put("user", spec.content)
            put("max_tokens", spec.tokens)
            put("stream", spec.stream)
        }.toString()
        CallKind.BOOKING -> spec.content
        CallKind.LOOKUP -> null
    }

    private companion object {
        const val MAX_CONNECTIONS = 2_000
        const val CONNECT_TIMEOUT_MS = 2_000L
        const val CALL_TIMEOUT_MS = 90_000L
    }
}
