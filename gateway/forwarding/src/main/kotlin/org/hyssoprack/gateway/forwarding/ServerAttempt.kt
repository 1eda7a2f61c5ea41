package org.hyssoprack.gateway.forwarding

import arrow.core.getOrElse
import io.netty.handler.codec.http.HttpResponse
import org.hyssoprack.common.Clock
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.gateway.DispatchMetadata
import org.hyssoprack.gateway.ResponseMetadata
import org.hyssoprack.gateway.ServerConnection
import org.hyssoprack.gateway.ServerConnections
import org.hyssoprack.gateway.WireFormat
import org.hyssoprack.serving.placement.SlotOutcome
import org.hyssoprack.serving.placement.SlotResult

/**
 * Sends a request to one backend server and relays its response up to the end.
 *
 * @param statusHandler handles the status that the server reports in its responses.
 * @param search searches another server while this one makes no progress.
 * @param evidence learns which requests crash servers, and which do not.
 */
internal class ServerAttempt(
    private val wire: WireFormat,
    private val connections: ServerConnections,
    private val clock: Clock,
    private val request: CallerRequest,
    granted: GrantedRequest,
    private val progress: RequestProgress,
    private val relay: StreamRelay,
    private val statusHandler: ServerStatusHandler,
    private val search: ReplacementSearch,
    private val evidence: CrashEvidence
) {
    private val call = granted.call
    private val slot = granted.slot
    private val opened = granted.connection
    private val state = slot.state
    private val startMs = clock.nowMs()
    private var promptRead = false
    private var isUnlimited = false

    /** Pace that the server has reported and the slot owner has not been told. */
    private var newPace: Int? = null
    private var newPaceMs = 0L
    private var firstMs = 0L
    private var hasBegun = false
    private var pauseMs = 0L

    /** Time of the first bytes of an incomplete event; null if the last event was complete. */
    private var tricklingSinceMs: Long? = null

    /**
     * Time of the response's last progress: its head, a complete event, or a part of a plain body.
     */
    private var progressMs = startMs

    /** Time since the send, in milliseconds. */
    val elapsedMs: Long get() = clock.nowMs() - startMs

    /** Time since the response's last progress, in milliseconds. */
    val silentMs: Long get() = clock.nowMs() - progressMs

    /** Sends the request and relays the response; releases the slot at the end. */
    suspend fun run(): AttemptResult {
        try {
            val end = sendAndRelay()
            if (end is AttemptResult.Broken && end.isConnectionLost && !hasBegun) {
                evidence.recordCrash(state.server)
            }
            val result = resultOf(end)
            slot.release(result.copy(isUnlimited = isUnlimited, pacePercent = takePace()))
            if (end !is AttemptResult.Broken) return end
            return search.await()?.let { AttemptResult.Stalled(it, end.reason) } ?: end
        } finally {
            search.cancel()
            // Has an effect only if the caller has disconnected.
            slot.release(SlotResult(SlotOutcome.UNUSED))
        }
    }

    private suspend fun sendAndRelay(): AttemptResult {
        val connection = opened ?: connect().getOrElse { return unreachable(it.detail) }
        var isDone = false
        try {
            send(connection)
            val end = relayResponse(readerOf(connection))
            isDone = end !is AttemptResult.Broken && end !is AttemptResult.Stalled
            return end
        } finally {
            if (!isDone) connection.close()
        }
    }

    private suspend fun connect() = connections.open(
        address = state.server.address,
        connectTimeoutMs = RequestPlacement.CONNECT_TIMEOUT_MS,
        requestId = call.metadata.id
    )

    private fun unreachable(detail: String): AttemptResult {
        connections.forget(state.server.address)
        return AttemptResult.NotRun(detail, arrived = false)
    }

    private fun send(connection: ServerConnection) {
        val metadata = DispatchMetadata(
            server = state.server.id,
            account = call.account?.name,
            remainingMs = (call.endMs - clock.nowMs()).coerceAtLeast(1),
            lastEventId = relay.lastEventId
        )
        progress.runs++
        connection.send(
            method = request.method,
            uri = request.uri,
            headers = wire.dispatchHeaders(request.headers, metadata),
            body = request.body,
            requestId = call.metadata.id
        )
        progress.sends.recordSend(state.server.id, connection)
    }

    private fun readerOf(connection: ServerConnection) = ResponseReader(
        connection = connection,
        clock = clock,
        search = search,
        sends = progress.sends,
        onPart = { state.recordActivity() },
        onSilence = {
            slot.reportStalled()
            if (isStalled()) search.start()
        }
    )

    private suspend fun relayResponse(reader: ResponseReader): AttemptResult {
        while (true) {
            val head = reader.nextHead().getOrElse { return it }
            val metadata = wire.readAnswer(head)
            metadata.load?.let { state.recordReportedLoad(it) }
            if (!metadata.isOtherServer) statusHandler.handle(state, metadata)
            val isOtherRequest =
                metadata.requestId != null && metadata.requestId != call.metadata.id
            if (isOtherRequest) continue
            if (!metadata.isOtherServer) {
                isUnlimited = statusHandler.handleRateLimit(state, metadata, startMs)
                metadata.load?.pacePercent?.let { recordPace(it) }
            }
            return relayMatching(reader, head, metadata)
        }
    }

    private fun recordPace(percent: Int) {
        state.pace.record(percent)
        newPace = percent
        newPaceMs = clock.nowMs()
    }

    /** Returns the pace that the slot owner has not been told, once, while it is current. */
    private fun takePace(): Int? {
        val isCurrent = clock.nowMs() - newPaceMs <= MAX_PACE_AGE_MS
        return newPace.takeIf { isCurrent }.also { newPace = null }
    }

    private suspend fun relayMatching(
        reader: ResponseReader,
        head: HttpResponse,
        metadata: ResponseMetadata
    ): AttemptResult {
        val isSuccess = head.status().code() in SUCCESSES
        if (isSuccess && (!metadata.isSealed || metadata.requestId == null)) {
            return AttemptResult.Broken(
                "successful response without the server's seal or a request id"
            )
        }
        if (isSuccess && call.route.kind.isStream) return relayStream(reader, head, metadata)
        val body = reader.body(head, relay::hold) { recordProgress() }.getOrElse { return it }
        reader.connection.release(idleMs(metadata))
        return classify(head, metadata, body)
    }

    private fun classify(
        head: HttpResponse,
        metadata: ResponseMetadata,
        body: ByteArray
    ): AttemptResult {
        val status = head.status().code()
        if (metadata.requestId == null) return AttemptResult.Broken("response without a request id")
        if (metadata.isNotRun || metadata.isOtherServer) {
            progress.runs--
            return AttemptResult.NotRun(
                "server rejected the request with status $status",
                true,
                metadata.isOtherServer
            )
        }
        val headers = wire.answerHeaders(head.headers())
        return AttemptResult.Answered(status, headers, body)
    }

    private suspend fun relayStream(
        reader: ResponseReader,
        head: HttpResponse,
        metadata: ResponseMetadata
    ): AttemptResult {
        relay.begin(head.status().code(), wire.answerHeaders(head.headers()))
        progress.isStarted = true
        while (true) {
            relayBytes(reader.bytes().getOrElse { return it } ?: break)
            replacementOfTrickling()?.let { return AttemptResult.Stalled(it) }
            streamFault()?.let { return AttemptResult.Broken(it) }
        }
        if (!relay.isWhole) return AttemptResult.Broken("stream ended within an event")
        reader.connection.release(idleMs(metadata))
        relay.end()
        return AttemptResult.Delivered(head.status().code())
    }

    private suspend fun relayBytes(bytes: ByteArray) {
        if (!promptRead) recordFirstBytes()
        if (tricklingSinceMs == null) tricklingSinceMs = clock.nowMs()
        relay.send(bytes) {
            recordProgress()
            progress.recordEvents(progressMs)
            recordBegun()
        }
    }

    /**
     * Returns the replacement of a server that sends bytes but no complete event; null if it is to
     * go on.
     */
    private fun replacementOfTrickling(): GrantedRequest? {
        if (!isWithoutProgress()) return null
        return search.take().also { if (it == null) search.start() }
    }

    private fun isTricklingFor(ms: Long): Boolean =
        tricklingSinceMs.let { it != null && clock.nowMs() - it >= ms }

    private fun recordProgress() {
        tricklingSinceMs = null
        if (hasBegun) pauseMs = maxOf(pauseMs, silentMs)
        progressMs = clock.nowMs()
        search.cancel()
    }

    private fun recordBegun() {
        if (hasBegun) return
        hasBegun = true
        if (promptRead) slot.recordFirstEvent(elapsedMs, takePace())
        evidence.recordBegun(state.server)
    }

    /** Returns why a stream that still sends bytes is aborted, or null if it continues. */
    private fun streamFault(): String? = when {
        relay.pendingBytes > MAX_EVENT_BYTES -> "event exceeds $MAX_EVENT_BYTES bytes"

        isTricklingFor(call.route.callerPatienceMs) ->
            "no complete event for ${call.route.callerPatienceMs} ms"

        else -> null
    }

    private fun recordFirstBytes() {
        promptRead = true
        firstMs = clock.nowMs()
        if (progress.firstByteMs == null) progress.firstByteMs = firstMs
    }

    /**
     * Returns whether the server has made no progress for so long that another one is likely to be
     * faster.
     */
    private fun isStalled(): Boolean = state.isSuspect ||
        isWithoutProgress() ||
        (!promptRead && elapsedMs >= STALL_MS)

    /**
     * Returns whether a stream has sent no complete event for [STALL_MS], even if it sends bytes.
     */
    private fun isWithoutProgress(): Boolean = promptRead && silentMs >= STALL_MS

    /** Returns what [end] shows about the server. */
    private fun resultOf(end: AttemptResult): SlotResult = when (end) {
        is AttemptResult.Delivered -> streamResult()

        is AttemptResult.Answered -> responseResult(end)

        is AttemptResult.Broken ->
            SlotResult(SlotOutcome.FAILED, isConnectionLost = end.isConnectionLost)

        is AttemptResult.Stalled -> SlotResult(SlotOutcome.FAILED)

        is AttemptResult.NotRun -> SlotResult(
            if (end.arrived && !end.isOtherServer) SlotOutcome.FULL else SlotOutcome.UNREACHABLE
        )
    }

    private fun streamResult(): SlotResult {
        if (!relay.isFromOneServer) return SlotResult(SlotOutcome.SUCCEEDED)
        val ms = clock.nowMs() - firstMs
        return SlotResult(
            outcome = SlotOutcome.SUCCEEDED,
            streamTokens = call.work.outputTokens,
            streamMs = ms,
            streamEvents = relay.eventCount,
            pauseMs = pauseMs
        )
    }

    private fun responseResult(end: AttemptResult.Answered): SlotResult {
        if (end.status >= FIRST_FAILURE) return SlotResult(SlotOutcome.FAILED)
        recordBegun()
        val callMs = (clock.nowMs() - startMs).takeIf { call.work.tokens == 0 }
        return SlotResult(SlotOutcome.SUCCEEDED, callMs = callMs)
    }

    private fun idleMs(metadata: ResponseMetadata): Long {
        val reportedMs = metadata.idleTimeoutMs ?: return DEFAULT_IDLE_MS
        return reportedMs - IDLE_MARGIN_MS
    }

    private companion object {
        val SUCCESSES = 200..299
        const val FIRST_FAILURE = 500

        // The pace changes many times a second, so an older one says nothing to the slot owner.
        const val MAX_PACE_AGE_MS = 200L

        // Longer than healthy servers take to read the largest prompts.
        const val STALL_MS = 2_000L

        // Far larger than any event; bounds the memory used for a server that sends bytes without
        // end.
        const val MAX_EVENT_BYTES = 1_048_576

        // Margin before the server's idle timeout: whether a request runs that is sent while the
        // server closes the connection is unknown.
        const val IDLE_MARGIN_MS = 800L
        const val DEFAULT_IDLE_MS = 3_000L
    }
}
