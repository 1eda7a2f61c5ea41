package org.hyssoprack.gateway.forwarding

import kotlinx.coroutines.delay
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq
import org.hyssoprack.serving.settings.Moment
import org.hyssoprack.store.RowFeed

/**
 * Keeps a [FeedSink] up to date with one table of the store: reads it whole, follows its changes,
 * and reads it whole again when the store has forgotten them.
 *
 * @param waitMs how long the store may hold a call without changes. Each answer shows that nothing
 *   newer is known, so it must be well below the age at which the table counts as outdated.
 */
class FeedFollower(
    private val name: String,
    private val feed: RowFeed,
    private val sink: FeedSink,
    private val clock: Clock,
    private val log: EventLog,
    private val waitMs: Long
) {
    private var revision: Long? = null
    private var failures = 0

    /** Follows the table until it is cancelled. */
    suspend fun run() {
        while (true) {
            val failure = step() ?: continue
            handle(failure)
        }
    }

    private suspend fun step(): Failure? {
        val started = Moment.now(clock)
        val known = revision
        val isUsable = if (known == null) {
            val read = feed.read().fold({ return it }, { it })
            revision = read.revision
            sink.replace(read.rows)
        } else {
            val read = feed.changes(known, waitMs).fold({ return it }, { it })
            revision = read.revision
            read.rows.isEmpty() || sink.change(read.rows)
        }
        answered()
        if (isUsable) sink.confirm(started)
        return null
    }

    private fun answered() {
        if (failures == 0) return
        log.event("store-regained", "table" eq name, "failures" eq failures)
        failures = 0
        sink.returned()
    }

    private suspend fun handle(failure: Failure) {
        if (failure.code == ResultCode.HISTORY_LOST) {
            log.event("store-history-lost", "table" eq name, "revision" eq revision)
            revision = null
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

    private companion object {
        const val FIRST_DELAY_MS = 50L
        const val MAX_DOUBLINGS = 4

        // Serving goes on soon after the store is back.
        const val MAX_DELAY_MS = 400L
    }
}
