package org.hyssoprack.gateway.netty

import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.SystemClock
import org.hyssoprack.common.eq

/**
 * Decides which connections may hold memory of a host. Addresses callers that send large requests
 * in great numbers and leave them incomplete, and callers that read their responses slowly. All
 * calls come from the host's event loop.
 *
 * Above three quarters of the limit, connections that hold much stop reading. If that lasts, or at
 * the limit, the incomplete requests that have occupied the most memory for the longest time are
 * refused. What is complete is never refused, and the last quarter is left to small requests.
 *
 * @param onRefused called for each request refused and each connection closed.
 */
class ByteBudget(
    val limits: () -> ByteLimits = { DEFAULTS },
    private val clock: Clock = SystemClock,
    private val log: EventLog = NoOpEventLog,
    private val onRefused: (BudgetReason) -> Unit = {}
) {
    private val holdings = LinkedHashSet<Holding>()
    private val waiting = ArrayDeque<Waiting>()
    private var pressureSinceMs: Long? = null
    private var loggedMs: Long? = null

    private class Waiting(val holding: Holding, val bytes: Long, val resume: () -> Unit)

    /** Bytes that all connections hold. */
    var heldBytes = 0L
        private set

    /** Whether connections that hold much have to stop reading. */
    val isShort: Boolean get() = pressureSinceMs != null

    private val bulkBytes: Long get() = limits().maxHeldBytes * BULK_PERCENT / PERCENT

    private val reliefBytes: Long get() = limits().maxHeldBytes * RELIEF_PERCENT / PERCENT

    internal fun open(owner: HoldingOwner): Holding = Holding(owner).also { holdings += it }

    internal fun close(holding: Holding) {
        if (!holdings.remove(holding)) return
        release(holding)
        change(holding, 0)
    }

    /** Whether [holding] may read on. */
    internal fun mayRead(holding: Holding): Boolean = !isShort || holding.isSmall

    /** Records that [holding] now holds [bytes], and refuses incomplete requests at the limit. */
    internal fun resize(holding: Holding, bytes: Long) {
        if (holding !in holdings) return
        change(holding, bytes)
        if (heldBytes <= limits().maxHeldBytes) return
        evict(reliefBytes) { !it.isIncompleteSmall }
        evict(limits().maxHeldBytes) { true }
    }

    /** Grants [holding] a response of [bytes] in all once there is room, then calls [resume]. */
    internal fun request(holding: Holding, bytes: Long, resume: () -> Unit) {
        if (holding !in holdings) return resume()
        waiting += Waiting(holding, bytes, resume)
        grantWaiting()
    }

    /** Gives back what was granted by [request], and drops requests that wait. */
    internal fun release(holding: Holding) {
        waiting.removeIf { it.holding === holding }
        val granted = holding.grantedBytes
        holding.grantedBytes = 0
        if (granted > 0) change(holding, holding.bytes - granted)
    }

    /** Refuses incomplete requests if memory has been short for some time. */
    fun tick() {
        val sinceMs = pressureSinceMs ?: return
        if (clock.nowMs() - sinceMs < PATIENCE_MS) return
        evict(reliefBytes) { !it.isIncompleteSmall }
        pressureSinceMs = pressureSinceMs?.let { clock.nowMs() }
    }

    /** Counts and logs a refusal; logs at most once a second. */
    internal fun recordRefusal(reason: BudgetReason, ofBytes: Long, sinceMs: Long?) {
        onRefused(reason)
        val nowMs = clock.nowMs()
        if (loggedMs.let { it != null && nowMs - it < LOG_PERIOD_MS }) return
        loggedMs = nowMs
        log.event(
            "budget-refused",
            "reason" eq reason.wireName,
            "bytes" eq ofBytes,
            "ageMs" eq sinceMs?.let { nowMs - it },
            "held" eq heldBytes,
            "limit" eq limits().maxHeldBytes,
            "shortForMs" eq pressureSinceMs?.let { nowMs - it },
            "connections" eq holdings.size
        )
    }

    private fun change(holding: Holding, bytes: Long) {
        heldBytes += bytes - holding.bytes
        holding.bytes = bytes
        updatePressure()
        grantWaiting()
    }

    private fun updatePressure() {
        val wasShort = isShort
        if (heldBytes > bulkBytes) {
            if (!wasShort) pressureSinceMs = clock.nowMs()
        } else if (heldBytes <= reliefBytes) {
            pressureSinceMs = null
        }
        if (wasShort != isShort) holdings.toList().forEach { it.owner.onPressureChanged() }
    }

    private fun evict(targetBytes: Long, isEligible: (Holding) -> Boolean) {
        val nowMs = clock.nowMs()
        val largest = holdings
            .filter { it.incompleteSinceMs != null && isEligible(it) }
            .sortedByDescending { it.incompleteBytes * (nowMs - (it.incompleteSinceMs ?: 0) + 1) }
        for (holding in largest) {
            if (heldBytes <= targetBytes) return
            if (holding.incompleteSinceMs == null) continue
            recordRefusal(BudgetReason.BYTES, holding.incompleteBytes, holding.incompleteSinceMs)
            holding.owner.onEvicted()
        }
    }

    // With no other response in memory the first is granted, so that none waits forever.
    private fun grantWaiting() {
        while (true) {
            val next = waiting.firstOrNull() ?: return
            val more = (next.bytes - next.holding.grantedBytes).coerceAtLeast(0)
            val isFree = heldBytes + more <= bulkBytes
            val isOnly = holdings.none { it !== next.holding && it.grantedBytes > 0 }
            if (!isFree && !isOnly) return
            waiting.removeFirst()
            next.holding.grantedBytes += more
            heldBytes += more
            next.holding.bytes += more
            updatePressure()
            next.resume()
        }
    }

    private companion object {
        val DEFAULTS = ByteLimits()
        const val PERCENT = 100
        const val BULK_PERCENT = 75
        const val RELIEF_PERCENT = 50

        // Longer than it takes to send complete requests to idle servers, which releases memory.
        const val PATIENCE_MS = 200L
        const val LOG_PERIOD_MS = 1_000L
    }
}
