package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.common.Clock
import org.hyssoprack.gateway.BodyBuffer
import org.hyssoprack.gateway.ResponsePart
import org.hyssoprack.gateway.ServerConnection

/**
 * Reads the response to one request, within bounds. Each function returns the attempt's result if
 * there is nothing more to read.
 *
 * @param search searches another server while this one makes no progress.
 * @param sends records the responses to the last send.
 * @param onPart called for each part that arrives.
 * @param onSilence called when nothing has arrived for [NO_DATA_MS], and again after each further
 *   time as long.
 */
internal class ResponseReader(
    val connection: ServerConnection,
    private val clock: Clock,
    private val search: ReplacementSearch,
    private val sends: SendTrace,
    private val onPart: () -> Unit,
    private val onSilence: () -> Unit
) {
    /** Time of the last part, or of the last report that there was none. */
    private var silenceFromMs = clock.nowMs()
    private var heads = 0

    /**
     * Returns the head of the next response, and skips what is left of the one before, which
     * belongs to another request.
     */
    suspend fun nextHead(): Either<AttemptResult, HttpResponse> {
        if (heads > 0) sends.recordSkipped(SkipReason.OTHER_REQUEST)
        var skippedBytes = 0
        while (true) {
            when (val part = next().getOrElse { return it.left() }) {
                is ResponsePart.Head -> {
                    if (++heads > MAX_HEADS) {
                        return AttemptResult.Broken("$MAX_HEADS responses to other requests").left()
                    }
                    sends.recordHead(part.response.status().code())
                    return part.response.right()
                }

                is ResponsePart.Body -> {
                    skippedBytes += part.bytes.size
                    if (skippedBytes > MAX_RESPONSE_BYTES) return tooLarge().left()
                }

                is ResponsePart.Lost -> return lost(part).left()
                ResponsePart.End -> if (heads == 0) sends.recordSkipped(SkipReason.REST)
            }
        }
    }

    /**
     * Returns the complete body; calls [onBytes] for each part of it, and [hold] to wait until the
     * host may hold so many bytes of it.
     */
    suspend fun body(
        head: HttpResponse,
        hold: suspend (Int) -> Unit,
        onBytes: () -> Unit
    ): Either<AttemptResult, ByteArray> {
        val declared = HttpUtil.getContentLength(head, -1L).takeIf { it in 0..MAX_RESPONSE_BYTES }
        val body = BodyBuffer(declared?.toInt(), MAX_RESPONSE_BYTES)
        var held = 0
        while (true) {
            when (val part = next().getOrElse { return it.left() }) {
                is ResponsePart.Body -> {
                    val capacity = body.capacityFor(part.bytes.size) ?: return tooLarge().left()
                    if (capacity > HOLD_FROM_BYTES && capacity > held) {
                        val most = maxOf(capacity, declared?.toInt() ?: 0)
                        hold(most)
                        held = most
                    }
                    body.add(part.bytes)
                    onBytes()
                }

                is ResponsePart.Lost -> return lost(part).left()
                is ResponsePart.Head -> return secondHead().left()
                ResponsePart.End -> return body.toByteArray().right()
            }
        }
    }

    /** Returns the next bytes of a body; null at its end. */
    suspend fun bytes(): Either<AttemptResult, ByteArray?> =
        when (val part = next().getOrElse { return it.left() }) {
            is ResponsePart.Body -> part.bytes.right()
            is ResponsePart.Lost -> lost(part).left()
            is ResponsePart.Head -> secondHead().left()
            ResponsePart.End -> null.right()
        }

    private suspend fun next(): Either<AttemptResult, ResponsePart> {
        while (true) {
            val part = awaitPart()
            if (part == null) {
                search.take()?.let { return AttemptResult.Stalled(it).left() }
                handleSilence()
                continue
            }
            onPart()
            silenceFromMs = clock.nowMs()
            if (part is ResponsePart.Head || part is ResponsePart.End) search.cancel()
            return part.right()
        }
    }

    private fun handleSilence() {
        if (clock.nowMs() - silenceFromMs < NO_DATA_MS) return
        silenceFromMs = clock.nowMs()
        onSilence()
    }

    /**
     * Waits for the next part. Returns null if none arrives for a time, which is shorter while
     * another server is searched.
     */
    private suspend fun awaitPart(): ResponsePart? {
        val waitMs = if (search.isPending) SEARCH_CHECK_MS else NO_DATA_MS
        return withTimeoutOrNull(waitMs) { connection.next() }
    }

    private fun lost(part: ResponsePart.Lost) =
        AttemptResult.Broken(part.reason, isConnectionLost = !part.isClosedHere)

    private fun secondHead() = AttemptResult.Broken("server sent a second response head")

    private fun tooLarge() = AttemptResult.Broken("response exceeds $MAX_RESPONSE_BYTES bytes")

    private companion object {
        // Smaller bodies are held without asking for room.
        const val HOLD_FROM_BYTES = 65_536

        // Twice the longest pause between events that counts as on time, and half the time for
        // which callers wait for an event.
        const val NO_DATA_MS = 1_000L

        // Far shorter than the time in which callers notice a pause.
        const val SEARCH_CHECK_MS = 20L

        // Far larger than any plain response; bounds the memory used for a server that sends bytes
        // without end.
        const val MAX_RESPONSE_BYTES = 4_194_304

        // Copies of earlier responses are few; more are an endless sequence.
        const val MAX_HEADS = 16
    }
}
