package org.hyssoprack.host

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode

/** Settles, between hosts, who may run a request that a caller sends again through another host. */
class RetryCoordinator(
    private val self: HostRef,
    private val registry: RequestRegistry,
    private val send: (HostId, HostMessage) -> Unit
) {
    private val sequences = AtomicLong()
    private val pending = ConcurrentHashMap<Long, PendingQuestion>()

    /**
     * Makes sure that the host incarnation that [id] names has not run the request and never will.
     * Fails with FIRST_ATTEMPT_UNKNOWN when that cannot be made sure.
     */
    suspend fun takeOver(id: RequestId): Either<Failure, Unit> {
        val origin = id.origin() ?: return Unit.right()
        if (origin == self) return Unit.right()
        if (origin.host == self.host) return unknown("This host has restarted since.").left()
        val answer = ask(id, origin)
        if (answer == GiveUpResult.GIVEN_UP) return Unit.right()
        val detail = when (answer) {
            null -> "The host $origin does not answer."
            else -> "The request may have run through the host $origin."
        }
        return unknown(detail).left()
    }

    /** Handles a message of a peer. */
    suspend fun receive(from: HostRef, message: RetryMessage) {
        when (message) {
            is RetryMessage.GiveUp -> {
                val result = answerGiveUp(message.requestId, from.host)
                send(from.host, RetryMessage.GiveUpAnswer(message.sequence, result))
            }

            is RetryMessage.GiveUpAnswer -> {
                val question = pending[message.sequence] ?: return
                if (question.to == from) question.answer.complete(message.result)
            }
        }
    }

    private suspend fun answerGiveUp(id: RequestId, host: HostId): GiveUpResult {
        if (id.origin() != self) return GiveUpResult.MAY_HAVE_RUN
        return registry.giveUpTo(id, host)
    }

    private suspend fun ask(id: RequestId, origin: HostRef): GiveUpResult? {
        val sequence = sequences.incrementAndGet()
        val question = PendingQuestion(to = origin, answer = CompletableDeferred())
        pending[sequence] = question
        try {
            repeat(ASK_TRIES) {
                send(origin.host, RetryMessage.GiveUp(requestId = id, sequence = sequence))
                val result = withTimeoutOrNull(ASK_TIMEOUT_MS) { question.answer.await() }
                if (result != null) return result
            }
            return null
        } finally {
            pending.remove(sequence)
        }
    }

    private fun unknown(detail: String) = Failure(ResultCode.FIRST_ATTEMPT_UNKNOWN, detail)

    private class PendingQuestion(val to: HostRef, val answer: CompletableDeferred<GiveUpResult>)

    private companion object {
        const val ASK_TRIES = 3
        const val ASK_TIMEOUT_MS = 300L
    }
}
