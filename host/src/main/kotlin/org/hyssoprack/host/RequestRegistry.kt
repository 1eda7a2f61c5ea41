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
 * Remembers the request ids that this host incarnation has seen, so that no id is dispatched twice.
 * Ended ids are kept for [RETENTION_MS] milliseconds, longer than any deadline that is accepted.
 */
class RequestRegistry(
    private val clock: Clock,
    private val giveUpWaiting: suspend (RequestId) -> Boolean
) {
    private val mutex = Mutex()
    private val attempts = LinkedHashMap<RequestId, Entry>()

    private var lastTicket = 0L

    /** Begins an attempt here. Fails with FIRST_ATTEMPT_UNKNOWN. */
    suspend fun begin(id: RequestId): Either<Failure, AttemptId> = mutex.withLock {
        forgetOld()
        val refusal = when (attempts[id]?.state) {
            null, AttemptState.NotRun -> null
            AttemptState.InProgress -> giveUpFirst(id)
            AttemptState.MayHaveRun -> mayHaveRun()
            is AttemptState.HandedOver ->
                Failure(ResultCode.FIRST_ATTEMPT_UNKNOWN, "Another host took the request over.")
        }
        if (refusal != null) return refusal.left()
        put(id, AttemptState.InProgress).right()
    }

    /** Ends an attempt; [mayHaveRun] is false only if nothing was sent to a backend server. */
    suspend fun end(ticket: AttemptId, mayHaveRun: Boolean): Unit = mutex.withLock {
        if (attempts[ticket.id]?.ticket != ticket) return
        put(ticket.id, if (mayHaveRun) AttemptState.MayHaveRun else AttemptState.NotRun)
    }

    /** Leaves the request [id] to [host] if the attempt here has not run and never will. */
    suspend fun giveUpTo(id: RequestId, host: HostId): GiveUpResult = mutex.withLock {
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

    private suspend fun giveUpFirst(id: RequestId): Failure? =
        if (giveUpWaiting(id)) null else mayHaveRun()

    private fun mayHaveRun() =
        Failure(ResultCode.FIRST_ATTEMPT_UNKNOWN, "An earlier attempt may have run here.")

    private fun put(id: RequestId, state: AttemptState): AttemptId {
        val ticket = AttemptId(id = id, number = ++lastTicket)
        attempts.remove(id)
        attempts[id] = Entry(ticket = ticket, state = state, atMs = clock.nowMs())
        return ticket
    }

    private fun forgetOld() {
        val before = clock.nowMs() - RETENTION_MS
        val oldest = attempts.entries.iterator()
        while (oldest.hasNext()) {
            val entry = oldest.next().value
            if (entry.atMs >= before) return
            if (entry.state != AttemptState.InProgress) oldest.remove()
        }
    }

    private class Entry(val ticket: AttemptId, val state: AttemptState, val atMs: Long)

    companion object {
        /** How long an ended request id is remembered. */
        const val RETENTION_MS = 600_000L
    }
}
