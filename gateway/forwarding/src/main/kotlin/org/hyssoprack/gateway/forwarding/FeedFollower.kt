package org.hyssoprack.gateway.forwarding

import kotlinx.coroutines.delay
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.RowFeed
import org.hyssoprack.store.StorePosition

/**
 * Keeps a [FeedSink] up to date with one table of the store: reads the whole table, follows its
 * changes, and reads the whole table again when the store no longer has the changes or was restored.
 *
 * @param observer receives everything that was read, for the hosts that read the table through this
 *   one.
 * @param waitMs how long the store may hold a call without changes. Each response confirms that
 *   there is nothing newer, so this must be well below the age at which the table counts as
 *   outdated.
 */
class FeedFollower(
    private val name: String,
    private val feed: RowFeed,
    private val sink: FeedSink,
    private val clock: Clock,
    private val log: EventLog,
    private val waitMs: Long,
    private val observer: FeedObserver = NoObserver
) {
    private var position: StorePosition? = null
    private var hasAllChanges = false
    private var failures = 0

    /**
     * Follows the table until it is cancelled. Begins with the whole table, also when it runs again
     * after it threw: changes that were read then may not have been applied.
     */
    suspend fun run() {
        hasAllChanges = false
        while (true) {
            val failure = step() ?: continue
            handle(failure)
        }
    }

    private suspend fun step(): Failure? {
        val started = ClockReading.now(clock)
        val known = position?.takeIf { hasAllChanges }
        return if (known == null) readAll(started) else readChanges(known, started)
    }

    private suspend fun readAll(started: ClockReading): Failure? {
        val read = feed.read().fold({ return it }, { it })
        val isRestored = position?.isComparableTo(read.position) == false
        if (isRestored) {
            logRestored(read.position)
            sink.storeRestored()
        }
        position = read.position
        hasAllChanges = true
        responseReceived(if (isRestored) 0 else read.sinceStoreRecoveryMs)
        val mayConfirm = sink.replace(read.rows)
        observer.replaced(read)
        confirm(mayConfirm, started.before(read.ageMs))
        return null
    }

    private suspend fun readChanges(known: StorePosition, started: ClockReading): Failure? {
        val read = feed.changes(known, waitMs).fold({ return it }, { it })
        if (!read.position.isComparableTo(known)) return restored(read.position)
        position = read.position
        responseReceived(read.sinceStoreRecoveryMs)
        val mayConfirm = read.rows.isEmpty() || sink.change(read.rows)
        observer.changed(read)
        confirm(mayConfirm, started.before(read.ageMs))
        return null
    }

    private fun restored(at: StorePosition) =
        Failure(ResultCode.HISTORY_LOST, "The store was restored, its era is ${at.era}.")

    private fun logRestored(now: StorePosition) = log.event(
        "store-restored",
        "table" eq name,
        "era" eq now.era,
        "before" eq position?.era,
        "revision" eq now.revision,
        "revisionBefore" eq position?.revision
    )

    private fun confirm(mayConfirm: Boolean, moment: ClockReading) {
        observer.confirmed(moment)
        if (mayConfirm) sink.confirm(moment)
    }

    private fun responseReceived(sinceStoreRecoveryMs: Long?) {
        if (sinceStoreRecoveryMs != null) notifyRecovered(sinceStoreRecoveryMs)
        if (failures == 0) return
        log.event("store-regained", "table" eq name, "failures" eq failures)
        failures = 0
        notifyRecovered(agoMs = 0)
    }

    private fun notifyRecovered(agoMs: Long) {
        sink.storeRecovered(agoMs)
        observer.storeRecovered(agoMs)
    }

    private suspend fun handle(failure: Failure) {
        if (failure.code == ResultCode.HISTORY_LOST) {
            log.event(
                "store-history-lost",
                "table" eq name,
                "revision" eq position?.revision,
                "era" eq position?.era
            )
            hasAllChanges = false
            return
        }
        failures++
        if (failures == 1) {
            log.event(
                "store-lost",
                "table" eq name,
                "code" eq failure.code.number,
                "detail" eq failure.detail
            )
        }
        delay(minOf(FIRST_DELAY_MS shl minOf(failures - 1, MAX_DOUBLINGS), MAX_DELAY_MS))
    }

    private object NoObserver : FeedObserver

    private companion object {
        const val FIRST_DELAY_MS = 50L
        const val MAX_DOUBLINGS = 4

        // Short enough to resume serving soon after the store recovers.
        const val MAX_DELAY_MS = 400L
    }
}
