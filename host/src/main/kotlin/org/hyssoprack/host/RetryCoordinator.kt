package org.hyssoprack.host

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.MessageNumbers
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode

/** Agrees with peers on which host may run a request that a caller retries through another host. */
class RetryCoordinator(
    private val self: HostRef,
    private val registry: RequestRegistry,
    private val send: (HostId, HostMessage) -> Unit
) {
    private val sequences = MessageNumbers(self.incarnation)
    private val pending = ConcurrentHashMap<Long, PendingGiveUp>()

    /**
     * Ensures that the host incarnation named in [id] has not run the request and never will. Fails
     * with FIRST_ATTEMPT_UNKNOWN if that cannot be ensured.
     */
    suspend fun takeOver(id: RequestId): Either<Failure, Unit> {
        val origin = id.origin() ?: return Unit.right()
        if (origin == self) return Unit.right()
        if (origin.host == self.host) {
            return firstAttemptUnknown("This host has restarted since the first attempt.").left()
        }
        val result = requestGiveUp(id, origin)
        if (result == GiveUpResult.GIVEN_UP) return Unit.right()
        val detail = when (result) {
            null -> "The host $origin did not reply to $GIVE_UP_TRIES messages."
            else -> "The request may have run through the host $origin."
        }
        return firstAttemptUnknown(detail).left()
    }

    /** Handles a message from a peer. */
    suspend fun receive(from: HostRef, message: RetryMessage) {
        when (message) {
            is RetryMessage.GiveUp -> {
                val result = handleGiveUp(message.requestId, from.host)
                send(from.host, RetryMessage.GiveUpAnswer(message.sequence, result))
            }

            is RetryMessage.GiveUpAnswer -> {
                val pendingGiveUp = pending[message.sequence] ?: return
                if (pendingGiveUp.to == from) pendingGiveUp.result.complete(message.result)
            }
        }
    }

    private suspend fun handleGiveUp(id: RequestId, host: HostId): GiveUpResult {
        if (id.origin() != self) return GiveUpResult.MAY_HAVE_RUN
        return registry.handOver(id, host)
    }

    private suspend fun requestGiveUp(id: RequestId, origin: HostRef): GiveUpResult? {
        val sequence = sequences.next()
        val pendingGiveUp = PendingGiveUp(to = origin, result = CompletableDeferred())
        pending[sequence] = pendingGiveUp
        try {
            repeat(GIVE_UP_TRIES) {
                send(origin.host, RetryMessage.GiveUp(requestId = id, sequence = sequence))
                val result = withTimeoutOrNull(GIVE_UP_TIMEOUT_MS) { pendingGiveUp.result.await() }
                if (result != null) return result
            }
            return null
        } finally {
            pending.remove(sequence)
        }
    }

    private fun firstAttemptUnknown(detail: String) =
        Failure(ResultCode.FIRST_ATTEMPT_UNKNOWN, detail)

    private class PendingGiveUp(val to: HostRef, val result: CompletableDeferred<GiveUpResult>)

    private companion object {
        const val GIVE_UP_TRIES = 3
        const val GIVE_UP_TIMEOUT_MS = 300L
    }
}
