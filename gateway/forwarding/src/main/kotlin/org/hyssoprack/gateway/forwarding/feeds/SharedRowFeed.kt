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
 */
class SharedRowFeed(
    private val table: String,
    private val direct: RowFeed,
    private val feeds: SharedFeeds,
    private val readers: () -> List<HostId>,
    private val clock: Clock,
    private val log: EventLog,
    private val mostAgeMs: Long
) : RowFeed {
    private val avoidUntilMs = HashMap<HostId, Long>()
    private val knownEra = feeds.knownEra

    override suspend fun read(): Either<Failure, RowSnapshot> {
        val reply =
            requestFromReader(position = null, waitMs = 0) as? FeedMessage.Rows
                ?: return direct.read()
        return RowSnapshot(
            reply.feedRows(),
            reply.position,
            reply.ageMs,
            reply.sinceStoreRecoveryMs
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
                reply.sinceStoreRecoveryMs
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
        val answer = feeds.request(reader, table, position, waitMs)
        val isUsable = when (answer) {
            is FeedMessage.Rows ->
                answer.ageMs <= mostAgeMs && !knownEra.isOutdated(answer.era)

            is FeedMessage.Unavailable ->
                position != null && !knownEra.isOutdated(answer.era)

            else -> false
        }
        if (isUsable) return answer
        log.event(
            "feed-reader-passed-over",
            "table" eq table,
            "reader" eq reader,
            "ageMs" eq (answer as? FeedMessage.Rows)?.ageMs,
            "era" eq (answer as? FeedMessage.Rows)?.era
        )
        avoidUntilMs[reader] = clock.nowMs() + AVOID_MS
        return null
    }

    private fun FeedMessage.Rows.feedRows(): List<FeedRow> = rows.map { FeedRow(it.key, it.value) }

    private companion object {
        // A reader that does not reply or has outdated data is tried again after this time.
        const val AVOID_MS = 2_000L
    }
}
