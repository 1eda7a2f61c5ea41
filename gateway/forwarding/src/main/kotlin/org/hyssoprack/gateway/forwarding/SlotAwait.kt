package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import org.hyssoprack.common.Failure
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.queue.QueuedRequest

/** Waits for a slot. Fails if none is granted in time; nothing has been sent in that case. */
suspend fun ServerPool.acquire(request: QueuedRequest): Either<Failure, ServerState> {
    val result = CompletableDeferred<Either<Failure, ServerState>>()
    request(request) { result.complete(it) }
    try {
        return result.await()
    } catch (e: CancellationException) {
        withdraw(request)
        releaseGranted(request, result)
        throw e
    }
}

// Releases a slot that was granted just as the caller disconnected.
@OptIn(ExperimentalCoroutinesApi::class)
private fun releaseGranted(
    request: QueuedRequest,
    result: CompletableDeferred<Either<Failure, ServerState>>
) {
    if (!result.isCompleted || result.isCancelled) return
    result.getCompleted().onRight {
        it.recordEnd(request.work, promptRead = false, request.isRelayedHere)
        it.rateLimit?.giveBack()
    }
}
