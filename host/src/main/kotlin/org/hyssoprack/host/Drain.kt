package org.hyssoprack.host

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.delay
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq
import org.hyssoprack.membership.Membership

/**
 * Takes a host out of service without cutting off a request: peers and callers stop choosing it,
 * new arrivals go to peers for as long as callers may hold its address, and the host ends when
 * nothing is in progress.
 */
class Drain(
    private val membership: Membership,
    private val clock: Clock,
    private val log: EventLog,
    private val addressTtlMs: Long
) {
    private val addressesExpireAtMs = AtomicLong(NOT_BEGUN)
    private val calls = AtomicInteger()

    /** True from the moment at which the host is told to stop. */
    val isDraining: Boolean get() = addressesExpireAtMs.get() != NOT_BEGUN

    /**
     * True from the moment at which no caller may hold the host's address any more. New calls are
     * refused then, so that callers that keep an address for too long cannot keep the host up.
     */
    val isClosed: Boolean get() = clock.nowMs() >= addressesExpireAtMs.get()

    /** Calls of callers in progress on this host, from the first byte to the last. */
    val inProgress: Int get() = calls.get()

    /** Runs [block] as a call in progress. */
    suspend fun <T> call(block: suspend () -> T): T {
        calls.incrementAndGet()
        try {
            return block()
        } finally {
            calls.decrementAndGet()
        }
    }

    /** Begins to drain; a second call changes nothing. */
    fun begin() {
        val expiresAtMs = clock.nowMs() + addressTtlMs
        if (!addressesExpireAtMs.compareAndSet(NOT_BEGUN, expiresAtMs)) return
        log.event("drain-begun", "in_progress" eq inProgress)
        membership.leave()
    }

    /** Returns when no caller can hold the address any more and nothing is in progress. */
    suspend fun awaitIdle() {
        while (!isClosed || inProgress > 0) delay(POLL_MS)
        log.event("drain-ended")
    }

    private companion object {
        const val POLL_MS = 50L
        const val NOT_BEGUN = Long.MAX_VALUE
    }
}
