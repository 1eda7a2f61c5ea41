package org.hyssoprack.host

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.delay
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq
import org.hyssoprack.membership.Membership

/**
 * Takes a host out of service without interrupting requests. Peers and callers stop selecting it,
 * new requests are relayed to peers for as long as callers may use its address, and the host stops
 * when no call is in progress.
 */
class Drain(
    private val membership: Membership,
    private val clock: Clock,
    private val log: EventLog,
    private val addressTtlMs: Long
) {
    private val addressesExpireAtMs = AtomicLong(NOT_BEGUN)
    private val calls = AtomicInteger()

    /** True once draining has begun. */
    val isDraining: Boolean get() = addressesExpireAtMs.get() != NOT_BEGUN

    /**
     * True once the host's address has expired for all callers. New calls are then refused, so that
     * callers that use an expired address cannot keep the host running.
     */
    val isClosed: Boolean get() = clock.nowMs() >= addressesExpireAtMs.get()

    /** Number of calls in progress on this host, from the first byte to the last. */
    val inProgress: Int get() = calls.get()

    /** Runs [block] and counts it as a call in progress. */
    suspend fun <T> call(block: suspend () -> T): T {
        calls.incrementAndGet()
        try {
            return block()
        } finally {
            calls.decrementAndGet()
        }
    }

    /** Starts draining; later invocations have no effect. */
    fun begin() {
        val expiresAtMs = clock.nowMs() + addressTtlMs
        if (!addressesExpireAtMs.compareAndSet(NOT_BEGUN, expiresAtMs)) return
        log.event("drain-begun", "in_progress" eq inProgress)
        membership.leave()
    }

    /** Suspends until the host's address has expired and no call is in progress. */
    suspend fun awaitIdle() {
        while (!isClosed || inProgress > 0) delay(POLL_MS)
        log.event("drain-ended")
    }

    private companion object {
        const val POLL_MS = 50L
        const val NOT_BEGUN = Long.MAX_VALUE
    }
}
