package org.hyssoprack.gateway.forwarding.feeds

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq
import org.hyssoprack.store.FeedRow
import org.hyssoprack.store.RowChanges
import org.hyssoprack.store.RowFeed
import org.hyssoprack.store.RowSnapshot
import org.hyssoprack.store.StorePosition

/**
 * Reads a table of the store through a reader, which is a host that reads it for others, or from
 * the store itself if this host is a reader or no reader has fresh data of the store's present era.
 *
 * @param direct the store's own feed.
 * @param readers the readers in order of preference; empty if this host reads the store itself.
 * @param mostAgeMs age of a reader's data, in milliseconds, beyond which the store is read instead.
 * @param mostSilenceMs time since the store last responded to a reader, in milliseconds, beyond
 *   which the store is read instead.
 */
class SharedRowFeed(
    private val table: String,
    private val direct: RowFeed,
    private val feeds: SharedFeeds,
    private val readers: () -> List<HostId>,
    private val clock: Clock,
    private val log: EventLog,
    private val mostAgeMs: Long,
    private val mostSilenceMs: Long
) : RowFeed {
    private val avoidUntilMs = HashMap<HostId, Long>()
    private val leaveAtMs = HashMap<HostId, Long>()
    private val knownEra = feeds.knownEra

    override suspend fun read(): Either<Failure, RowSnapshot> {
        val reply =
            requestFromReader(position = null, waitMs = 0) as? FeedMessage.Rows
                ?: return direct.read()
        return RowSnapshot(
            reply.feedRows(),
            reply.position,
            reply.ageMs,
            reply.sinceStoreRecoveryMs,
            reply.silenceMs
        ).right()
    }

    override suspend fun changes(
        position: StorePosition,
        waitMs: Long
    ): Either<Failure, RowChanges> = when (val reply = requestFromReader(position, waitMs)) {
        is FeedMessage.Rows ->
            RowChanges(
                reply.feedRows(),
                reply.position,
                reply.ageMs,
                reply.sinceStoreRecoveryMs,
                reply.silenceMs
            ).right()

        is FeedMessage.Unavailable ->
            Failure(
                ResultCode.HISTORY_LOST,
                "The reader does not have the changes since revision ${position.revision}."
            ).left()

        else -> direct.changes(position, waitMs)
    }

    /** Returns the reader's reply, or null if the store is to be read instead. */
    private suspend fun requestFromReader(position: StorePosition?, waitMs: Long): FeedMessage? {
        val nowMs = clock.nowMs()
        val reader = readers().firstOrNull { nowMs >= (avoidUntilMs[it] ?: Long.MIN_VALUE) }
            ?: return null
        val holdMs = holdMs(reader, waitMs)
        val answer = feeds.request(reader, table, position, holdMs)
        val isUsable = when (answer) {
            is FeedMessage.Rows -> isFresh(answer) && !knownEra.isOutdated(answer.era)

            is FeedMessage.Unavailable ->
                position != null && !knownEra.isOutdated(answer.era)

            else -> false
        }
        if (isUsable) {
            if (answer is FeedMessage.Rows) recordResponse(reader, answer)
            return answer
        }
        log.event(
            "feed-reader-passed-over",
            "table" eq table,
            "reader" eq reader,
            "ageMs" eq (answer as? FeedMessage.Rows)?.ageMs,
            "silenceMs" eq (answer as? FeedMessage.Rows)?.sinceResponseMs,
            "era" eq (answer as? FeedMessage.Rows)?.era
        )
        avoidUntilMs[reader] = clock.nowMs() + AVOID_MS
        leaveAtMs.remove(reader)
        return null
    }

    private fun isFresh(answer: FeedMessage.Rows): Boolean =
        answer.ageMs <= mostAgeMs && (answer.sinceResponseMs ?: 0) <= mostSilenceMs

    private fun recordResponse(reader: HostId, answer: FeedMessage.Rows) {
        // Hosts of older builds do not tell; their requests are held for the whole time.
        leaveAtMs[reader] = answer.sinceResponseMs
            ?.let { clock.nowMs() - it + mostSilenceMs }
            ?: Long.MAX_VALUE
    }

    /**
     * Returns the time for which [reader] may hold a request: until it would be left, should the
     * store remain silent to it. A reader of which that is not known replies at once.
     */
    private fun holdMs(reader: HostId, waitMs: Long): Long {
        val leaveMs = leaveAtMs[reader] ?: return 0
        return (leaveMs - clock.nowMs()).coerceIn(0, waitMs)
    }

    // A reader of an older build tells the age of its data only.
    private val FeedMessage.Rows.silenceMs: Long get() = sinceResponseMs ?: ageMs

    private fun FeedMessage.Rows.feedRows(): List<FeedRow> = rows.map { FeedRow(it.key, it.value) }

    private companion object {
        // A reader that does not reply or has outdated data is tried again after this time.
        const val AVOID_MS = 2_000L
    }
}
