package org.hyssoprack.host

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode

/**
 * Tracks the request ids that this host incarnation has received, so that no id is dispatched
 * twice. Ended ids are kept for [RETENTION_MS] milliseconds, longer than any accepted deadline.
 */
class RequestRegistry(
    private val clock: Clock,
    private val giveUpWaiting: suspend (RequestId) -> Boolean
) {
    private val mutex = Mutex()
    private val attempts = LinkedHashMap<RequestId, Entry>()

    private var lastAttemptNumber = 0L

    /**
     * Begins an attempt on this host. Fails with FIRST_ATTEMPT_UNKNOWN if an earlier attempt may
     * have run here or the request was handed over to another host.
     */
    suspend fun begin(id: RequestId): Either<Failure, AttemptId> = mutex.withLock {
        evictExpired()
        val refusal = when (attempts[id]?.state) {
            null, AttemptState.NotRun -> null
            AttemptState.InProgress -> giveUpEarlierAttempt(id)
            AttemptState.MayHaveRun -> mayHaveRun()
            is AttemptState.HandedOver ->
                Failure(ResultCode.FIRST_ATTEMPT_UNKNOWN, "Another host took the request over.")
        }
        if (refusal != null) return refusal.left()
        put(id, AttemptState.InProgress).right()
    }

    /** Ends an attempt; [mayHaveRun] is false only if nothing was sent to a backend server. */
    suspend fun end(attemptId: AttemptId, mayHaveRun: Boolean): Unit = mutex.withLock {
        if (attempts[attemptId.id]?.attemptId != attemptId) return
        put(attemptId.id, if (mayHaveRun) AttemptState.MayHaveRun else AttemptState.NotRun)
    }

    /** Hands the request [id] over to [host] if no attempt here has run or ever will. */
    suspend fun handOver(id: RequestId, host: HostId): GiveUpResult = mutex.withLock {
        val given = when (val state = attempts[id]?.state) {
            null, AttemptState.NotRun -> true
            AttemptState.InProgress -> giveUpWaiting(id)
            AttemptState.MayHaveRun -> false
            is AttemptState.HandedOver -> state.host == host
        }
        if (!given) return GiveUpResult.MAY_HAVE_RUN
        put(id, AttemptState.HandedOver(host))
        GiveUpResult.GIVEN_UP
    }

    private suspend fun giveUpEarlierAttempt(id: RequestId): Failure? =
        if (giveUpWaiting(id)) null else mayHaveRun()

    private fun mayHaveRun() =
        Failure(ResultCode.FIRST_ATTEMPT_UNKNOWN, "An earlier attempt may have run here.")

    private fun put(id: RequestId, state: AttemptState): AttemptId {
        val attemptId = AttemptId(id = id, number = ++lastAttemptNumber)
        attempts.remove(id)
        attempts[id] = Entry(attemptId = attemptId, state = state, atMs = clock.nowMs())
        return attemptId
    }

    private fun evictExpired() {
        val before = clock.nowMs() - RETENTION_MS
        val oldest = attempts.entries.iterator()
        while (oldest.hasNext()) {
            val entry = oldest.next().value
            if (entry.atMs >= before) return
            if (entry.state != AttemptState.InProgress) oldest.remove()
        }
    }

    private class Entry(val attemptId: AttemptId, val state: AttemptState, val atMs: Long)

    companion object {
        /** Retention time of an ended request id, in milliseconds. */
        const val RETENTION_MS = 600_000L
    }
}
