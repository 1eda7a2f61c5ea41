package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure

/**
 * Searches another server for a request while a silent one keeps it, so that the response is given
 * up only for a slot that was granted.
 *
 * @param isAllowed returns whether the request may run on another server.
 * @param acquire waits for a slot of another server.
 * @param giveBack gives a slot back that is not used.
 */
internal class ReplacementSearch(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val isAllowed: () -> Boolean,
    private val acquire: suspend () -> Either<Failure, GrantedRequest>,
    private val giveBack: (GrantedRequest) -> Unit
) {
    private var search: Deferred<Either<Failure, GrantedRequest>>? = null
    private var pausedUntilMs = Long.MIN_VALUE

    /** Whether there is a search whose result has not been taken. */
    val isPending: Boolean get() = search != null

    /**
     * Starts a search, unless one is in progress, the last one has just failed, or the request may
     * not go to another server.
     */
    fun start() {
        if (search != null || clock.nowMs() < pausedUntilMs || !isAllowed()) return
        search = scope.async { acquire() }
    }

    /** Returns the result of a search that has ended, or null if it found nothing. */
    fun take(): GrantedRequest? {
        val ended = search?.takeIf { it.isCompleted } ?: return null
        search = null
        return ended.granted().also { if (it == null) pausedUntilMs = clock.nowMs() + PAUSE_MS }
    }

    /** Waits for the end of a search in progress. Returns null if there is none or it fails. */
    suspend fun await(): GrantedRequest? {
        search?.join()
        return take()
    }

    /** Ends the search and gives back what it has found. */
    fun cancel() {
        val ended = search ?: return
        search = null
        ended.granted()?.let { giveBack(it) }
        ended.cancel()
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun Deferred<Either<Failure, GrantedRequest>>.granted(): GrantedRequest? =
        if (isCompleted && !isCancelled) getCompleted().getOrNull() else null

    private companion object {
        // Time after which the reason for a refusal may be gone.
        const val PAUSE_MS = 500L
    }
}
