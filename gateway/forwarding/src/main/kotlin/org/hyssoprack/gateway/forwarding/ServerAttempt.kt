package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.netty.handler.codec.http.HttpResponse
import java.io.ByteArrayOutputStream
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.common.Clock
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.gateway.DispatchMetadata
import org.hyssoprack.gateway.ResponseMetadata
import org.hyssoprack.gateway.ResponsePart
import org.hyssoprack.gateway.ServerConnection
import org.hyssoprack.gateway.ServerConnections
import org.hyssoprack.gateway.WireFormat
import org.hyssoprack.gateway.forwarding.slots.Slot
import org.hyssoprack.serving.placement.SlotOutcome
import org.hyssoprack.serving.placement.SlotResult

/**
 * One send of a request to one backend server, up to the end of its answer.
 *
 * @param notices takes what the server says of itself.
 * @param mayFailOver asked when the server is silent: whether the request may go to another one.
 */
internal class ServerAttempt(
    private val wire: WireFormat,
    private val connections: ServerConnections,
    private val clock: Clock,
    private val request: CallerRequest,
    private val call: AdmittedRequest,
    private val slot: Slot,
    private val progress: RequestProgress,
    private val relay: StreamRelay,
    private val notices: ServerStatusHandler,
    private val mayFailOver: () -> Boolean
) {
    private val state = slot.state
    private val startMs = clock.nowMs()
    private var promptRead = false
    private var firstMs = 0L

    /** When the answer last made progress: its head, a whole event, or a part of a plain body. */
    private var progressMs = startMs

    /** Sends the request and relays the answer; the slot of [state] is given back at the end. */
    suspend fun run(): AttemptResult {
        try {
            val end = sendAndRelay()
            slot.ended(resultOf(end))
            return end
        } finally {
            // Only where the caller has left.
            slot.ended(SlotResult(SlotOutcome.UNUSED))
        }
    }

    private suspend fun sendAndRelay(): AttemptResult {
        val connection = connections.open(state.server.address, CONNECT_TIMEOUT_MS).fold(
            { return unreachable(it.detail) },
            { it }
        )
        var isDone = false
        try {
            send(connection)
            val end = relayAnswer(connection)
            isDone = end !is AttemptResult.Broken && end !is AttemptResult.Stalled
            return end
        } finally {
            if (!isDone) connection.close()
        }
    }

    private fun unreachable(detail: String): AttemptResult {
        connections.forget(state.server.address)
        return AttemptResult.NotRun(detail, arrived = false)
    }

    private fun send(connection: ServerConnection) {
        val facts = DispatchMetadata(
            server = state.server.id,
            account = call.account?.name,
            remainingMs = (call.endMs - clock.nowMs()).coerceAtLeast(1),
            lastEventId = relay.lastEventId
        )
        progress.arrivals++
        progress.runs++
        connection.send(
            method = request.method,
            uri = request.uri,
            headers = wire.dispatchHeaders(request.headers, facts),
            body = request.body
        )
    }

    private suspend fun relayAnswer(connection: ServerConnection): AttemptResult {
        while (true) {
            val part = nextPart(connection) ?: return AttemptResult.Stalled
            val head = when (part) {
                is ResponsePart.Head -> part.response
                is ResponsePart.Lost -> return AttemptResult.Broken(part.reason)
                else -> continue
            }
            val facts = wire.readAnswer(head)
            facts.load?.let { state.reported(it) }
            if (!facts.isOtherServer) notices.take(state, facts)
            val isForeign = facts.requestId != null && facts.requestId != call.facts.id
            if (isForeign) continue
            return relayOwn(connection, head, facts)
        }
    }

    private suspend fun relayOwn(
        connection: ServerConnection,
        head: HttpResponse,
        facts: ResponseMetadata
    ): AttemptResult {
        val status = head.status().code()
        val isSuccess = status in SUCCESSES
        if (isSuccess && (!facts.isSealed || facts.requestId == null)) {
            return AttemptResult.Broken("answer without the server's mark")
        }
        if (isSuccess && call.route.kind.isStream) return relayStream(connection, head, facts)
        val body = readBody(connection).getOrElse { return it }
        connection.release(idleMs(facts))
        return judge(connection, head, facts, body)
    }

    private fun judge(
        connection: ServerConnection,
        head: HttpResponse,
        facts: ResponseMetadata,
        body: ByteArray
    ): AttemptResult {
        val status = head.status().code()
        // Without an id the answer may belong to the exchange before this one.
        val isCertain = facts.requestId != null || !connection.isReused
        if ((facts.isNotRun || facts.isOtherServer) && isCertain) {
            progress.runs--
            return AttemptResult.NotRun("refused with $status", true, facts.isOtherServer)
        }
        if (!isCertain) return AttemptResult.Broken("answer without an id")
        val headers = wire.answerHeaders(head.headers())
        return AttemptResult.Answered(status, headers, body)
    }

    private suspend fun relayStream(
        connection: ServerConnection,
        head: HttpResponse,
        facts: ResponseMetadata
    ): AttemptResult {
        relay.begin(head.status().code(), wire.answerHeaders(head.headers()))
        while (true) {
            val part = nextPart(connection) ?: return AttemptResult.Stalled
            when (part) {
                is ResponsePart.Body -> pass(part.bytes)
                is ResponsePart.Lost -> return AttemptResult.Broken(part.reason)
                is ResponsePart.Head -> return AttemptResult.Broken("a second answer")
                ResponsePart.End -> break
            }
            streamFault()?.let { return AttemptResult.Broken(it) }
        }
        if (!relay.isWhole) return AttemptResult.Broken("ended within an event")
        connection.release(idleMs(facts))
        relay.end()
        return AttemptResult.Delivered(head.status().code())
    }

    private suspend fun pass(bytes: ByteArray) {
        if (!promptRead) firstBytes()
        if (relay.pass(bytes)) progressMs = clock.nowMs()
    }

    /** Why a stream that still sends bytes is given up; null if it goes on. */
    private fun streamFault(): String? = when {
        relay.pendingBytes > MAX_EVENT_BYTES -> "an event without end"
        clock.nowMs() - progressMs >= call.route.callerPatienceMs -> "no event in time"
        else -> null
    }

    private fun firstBytes() {
        promptRead = true
        firstMs = clock.nowMs()
        slot.promptRead(firstMs - startMs)
        if (progress.firstByteMs == null) progress.firstByteMs = firstMs
    }

    /** The whole body, or how the attempt ended without it. */
    private suspend fun readBody(connection: ServerConnection): Either<AttemptResult, ByteArray> {
        val body = ByteArrayOutputStream()
        while (true) {
            when (val part = nextPart(connection) ?: return AttemptResult.Stalled.left()) {
                is ResponsePart.Body -> {
                    if (body.size() + part.bytes.size > MAX_ANSWER_BYTES) {
                        return AttemptResult.Broken("an answer without end").left()
                    }
                    body.write(part.bytes)
                    progressMs = clock.nowMs()
                }

                is ResponsePart.Lost -> return AttemptResult.Broken(part.reason).left()
                is ResponsePart.Head -> return AttemptResult.Broken("a second answer").left()
                ResponsePart.End -> return body.toByteArray().right()
            }
        }
    }

    /** The next part, or null if the server is silent and the request moves on. */
    private suspend fun nextPart(connection: ServerConnection): ResponsePart? {
        while (true) {
            val part = withTimeoutOrNull(SILENCE_MS) { connection.next() }
            if (part != null) state.heard()
            val isStalled = part is ResponsePart.Body && isWithoutProgress()
            if (part == null) slot.silent()
            if ((part == null || isStalled) && isStuck() && mayFailOver()) return null
            if (part != null) return part
        }
    }

    /** Whether nothing came for so long that another server is likely to be sooner. */
    private fun isStuck(): Boolean = state.isSuspect ||
        isWithoutProgress() ||
        (!promptRead && clock.nowMs() - startMs >= STUCK_MS)

    /** Whether a stream has sent no whole event for long, whatever bytes it sends. */
    private fun isWithoutProgress(): Boolean =
        promptRead && relay.isStarted && clock.nowMs() - progressMs >= STUCK_MS

    /** What the end shows of the server. */
    private fun resultOf(end: AttemptResult): SlotResult = when (end) {
        is AttemptResult.Delivered -> streamResult()

        is AttemptResult.Answered -> answerResult(end)

        is AttemptResult.Broken, AttemptResult.Stalled -> SlotResult(SlotOutcome.FAILED)

        is AttemptResult.NotRun -> SlotResult(
            if (end.arrived && !end.isOtherServer) SlotOutcome.FULL else SlotOutcome.UNREACHABLE
        )
    }

    private fun streamResult(): SlotResult {
        if (!relay.isFromOneServer) return SlotResult(SlotOutcome.SUCCEEDED)
        val ms = clock.nowMs() - firstMs
        return SlotResult(SlotOutcome.SUCCEEDED, call.work.outputTokens, ms)
    }

    private fun answerResult(end: AttemptResult.Answered): SlotResult {
        if (end.status >= FIRST_FAILURE) return SlotResult(SlotOutcome.FAILED)
        val callMs = (clock.nowMs() - startMs).takeIf { call.work.tokens == 0 }
        return SlotResult(SlotOutcome.SUCCEEDED, callMs = callMs)
    }

    private fun idleMs(facts: ResponseMetadata): Long {
        val toldMs = facts.idleTimeoutMs ?: return DEFAULT_IDLE_MS
        return toldMs - IDLE_MARGIN_MS
    }

    private companion object {
        val SUCCESSES = 200..299
        const val FIRST_FAILURE = 500

        // A new connection takes a few milliseconds; a server that is gone answers nothing.
        const val CONNECT_TIMEOUT_MS = 200

        // Twice the longest pause that counts as on time, and half of callers' patience.
        const val SILENCE_MS = 1_000L

        // Longer than healthy servers take for the largest prompts.
        const val STUCK_MS = 2_000L

        // Far more than one event or one plain answer holds; bounds the memory that a server that
        // sends bytes without end can take.
        const val MAX_EVENT_BYTES = 1_048_576
        const val MAX_ANSWER_BYTES = 4_194_304

        // A request that is sent while the server closes the connection is in doubt.
        const val IDLE_MARGIN_MS = 800L
        const val DEFAULT_IDLE_MS = 3_000L
    }
}
