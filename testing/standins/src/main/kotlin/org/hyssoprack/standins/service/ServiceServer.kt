package org.hyssoprack.standins.service

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentType
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receive
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.utils.io.writeFully
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.json.Json
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.SystemClock
import org.hyssoprack.common.eq
import org.hyssoprack.standins.common.LoadHistory
import org.hyssoprack.standins.common.StandInServer
import org.hyssoprack.standins.common.cutConnection

/** An emulated plain service: echoes the body of each call and counts how often each call ran. */
class ServiceServer(
    private val settings: ServiceSettings,
    private val log: EventLog = NoOpEventLog
) : AutoCloseable {
    private val ip = settings.address.substringBeforeLast(':')
    private val counter = RunCounter()
    private val slots = Semaphore(settings.slots)
    private val inProgress = AtomicInteger()
    private val loadHistory = LoadHistory(clock = SystemClock, lagMs = settings.reportLagMs)
    private val faultInjector = ServiceFaultInjector()
    private val server = StandInServer.build(
        NetworkAddress(ip = ip, port = settings.address.substringAfterLast(':').toInt())
    ) {
        install(this)
    }

    /** Starts the service and returns its listen address. */
    fun start(): NetworkAddress {
        server.start(wait = false)
        val port = runBlocking { server.engine.resolvedConnectors().first().port }
        return NetworkAddress(ip = ip, port = port)
    }

    /** Replaces all faults. */
    fun setFaults(faults: ServiceFaults) = faultInjector.set(faults)

    /** Returns all calls that ran, with their counts. */
    fun runs(): List<ServiceRun> = counter.runs()

    override fun close() = server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MS)

    private fun install(route: Route) {
        route.get("/load") { call.respondJson(Json.encodeToString(load())) }
        route.get("/runs") { call.respondJson(Json.encodeToString(runs())) }
        route.post("/faults") {
            setFaults(Json.decodeFromString(call.receiveText()))
            call.respondJson("{}")
        }
        route.route("{path...}") {
            handle { serve(call) }
        }
    }

    private suspend fun serve(call: ApplicationCall) {
        val body = call.receive<ByteArray>()
        call.request.header(REQUEST_ID)?.let { call.echo(it) }
        if (faultInjector.take(ServiceFault.REFUSE)) {
            call.response.headers.append(ADMITTED, "false")
            return call.respondJson("{}", HttpStatusCode.ServiceUnavailable)
        }
        val isLost = faultInjector.take(ServiceFault.LOSE_REPLY)
        val isCut = !isLost && faultInjector.take(ServiceFault.CUT)
        run(call, body)
        respond(call, body, isLost, isCut)
    }

    private suspend fun run(call: ApplicationCall, body: ByteArray) {
        updateInProgress(1)
        try {
            slots.withPermit {
                val run = toServiceRun(call, body)
                val count = counter.count(run)
                logRun(run.copy(count = count))
                delay(settings.latencyMs + faultInjector.faults.extraLatencyMs)
            }
        } finally {
            updateInProgress(-1)
        }
    }

    private suspend fun respond(
        call: ApplicationCall,
        body: ByteArray,
        isLost: Boolean,
        isCut: Boolean
    ) {
        val type = call.request.contentType().takeIf { it != ContentType.Any }
        if (!isLost && !isCut) {
            return call.respondBytes(bytes = body, contentType = type)
        }
        // An exception before the response headers are sent would be answered with status 500.
        call.respondBytesWriter(contentType = type, contentLength = body.size.toLong() + 1) {
            if (!isLost) writeFully(body)
            flush()
            call.cutConnection()
        }
    }

    private fun ApplicationCall.echo(id: String) {
        val isSwapped = faultInjector.take(ServiceFault.SWAP_ID)
        response.headers.append(REQUEST_ID, if (isSwapped) "other-$id" else id)
    }

    private fun toServiceRun(call: ApplicationCall, body: ByteArray): ServiceRun {
        val hash = MessageDigest.getInstance("SHA-256").digest(body)
        return ServiceRun(
            requestId = call.request.header(REQUEST_ID),
            idempotencyKey = call.request.header(IDEMPOTENCY_KEY),
            method = call.request.httpMethod.value,
            path = call.request.path(),
            bodyHash = HexFormat.of().formatHex(hash),
            count = 0
        )
    }

    private fun logRun(run: ServiceRun) {
        log.event(
            "service-ran",
            "epoch_ms" eq SystemClock.epochMs(),
            "request" eq run.requestId,
            "idempotency_key" eq run.idempotencyKey,
            "method" eq run.method,
            "path" eq run.path,
            "body_hash" eq run.bodyHash,
            "count" eq run.count
        )
    }

    @Synchronized
    private fun updateInProgress(by: Int) {
        val now = inProgress.addAndGet(by)
        loadHistory.record(
            running = minOf(now, settings.slots),
            queued = maxOf(0, now - settings.slots)
        )
    }

    @Synchronized
    private fun load() = loadHistory.report(faultInjector.faults.leaving)

    private suspend fun ApplicationCall.respondJson(
        text: String,
        status: HttpStatusCode = HttpStatusCode.OK
    ) = respondText(text = text, contentType = ContentType.Application.Json, status = status)

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val IDEMPOTENCY_KEY = "Idempotency-Key"
        const val ADMITTED = "X-Admitted"
        const val STOP_TIMEOUT_MS = 500L
    }
}
