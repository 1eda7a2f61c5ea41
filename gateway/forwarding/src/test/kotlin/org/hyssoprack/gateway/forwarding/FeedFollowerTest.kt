package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import assertk.assertThat
import assertk.assertions.containsExactly
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.SystemClock
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow
import org.hyssoprack.store.RowChanges
import org.hyssoprack.store.RowFeed
import org.hyssoprack.store.RowSnapshot
import org.hyssoprack.store.StoreEra
import org.hyssoprack.store.StorePosition

class FeedFollowerTest {
    private val row = FeedRow("a", "1")
    private val snapshot = RowSnapshot(listOf(row), StorePosition(5)).right()
    private val nothing = RowChanges(emptyList(), StorePosition(5)).right()
    private val outage = Failure(ResultCode.STORE_UNAVAILABLE, "no reply").left()
    private val historyLost = Failure(ResultCode.HISTORY_LOST, "410").left()

    private class Case(
        val name: String,
        val answers: List<Either<Failure, Any>>,
        val seen: List<String>
    )

    @Example
    fun `the table is followed over outages and lost history`() {
        val cases = listOf(
            Case("read, then empty answers", listOf(snapshot, nothing), listOf("all", "ok", "ok")),
            Case(
                "a change",
                listOf(snapshot, RowChanges(listOf(row), StorePosition(6)).right()),
                listOf("all", "ok", "change", "ok")
            ),
            Case("outage at first", listOf(outage, snapshot), listOf("returned", "all", "ok")),
            Case(
                "outage in between confirms nothing",
                listOf(snapshot, outage, outage, nothing),
                listOf("all", "ok", "returned", "ok")
            ),
            Case(
                "restored store: the whole table is read again",
                listOf(
                    RowSnapshot(listOf(row), StorePosition(5, StoreEra(1))).right(),
                    RowChanges(listOf(row), StorePosition(9, StoreEra(2))).right(),
                    RowSnapshot(listOf(row), StorePosition(9, StoreEra(2))).right()
                ),
                listOf("all", "ok", "restored", "returned", "all", "ok")
            ),
            Case(
                "history lost in an outage: the grace period begins before the whole table is read",
                listOf(snapshot, outage, historyLost, snapshot),
                listOf("all", "ok", "returned", "all", "ok")
            ),
            Case(
                "a reader's store was away: the grace period begins before its table is read",
                listOf(
                    RowSnapshot(listOf(row), StorePosition(5), sinceStoreRecoveryMs = 7).right()
                ),
                listOf("returned", "all", "ok")
            ),
            Case(
                "lost history: the whole table is read again",
                listOf(snapshot, historyLost, snapshot),
                listOf("all", "ok", "all", "ok")
            )
        )
        for (case in cases) {
            assertThat(
                run(case),
                case.name
            ).containsExactly(*case.seen.toTypedArray())
        }
    }

    private fun run(case: Case): List<String> = runBlocking {
        val seen = ArrayList<String>()
        val feed = ScriptedFeed(case.answers)
        val sink = RecordingSink(seen)
        val follower = FeedFollower("t", feed, sink, SystemClock, NoOpEventLog, waitMs = 10)
        val job = launch { follower.run() }
        feed.isOver.await()
        job.cancel()
        seen
    }

    private class ScriptedFeed(answers: List<Either<Failure, Any>>) : RowFeed {
        val isOver = CompletableDeferred<Unit>()
        private val left = ArrayDeque(answers)

        override suspend fun read() = next<RowSnapshot>()

        override suspend fun changes(position: StorePosition, waitMs: Long) = next<RowChanges>()

        @Suppress("UNCHECKED_CAST")
        private suspend fun <T> next(): Either<Failure, T> {
            val answer = left.removeFirstOrNull()
            if (answer == null) {
                isOver.complete(Unit)
                CompletableDeferred<Unit>().await()
            }
            return answer as Either<Failure, T>
        }
    }

    private class RecordingSink(private val seen: MutableList<String>) : FeedSink {
        override fun replace(rows: List<FeedRow>): Boolean = seen.add("all")

        override fun change(rows: List<FeedRow>): Boolean = seen.add("change")

        override fun confirm(readStarted: ClockReading) {
            seen += "ok"
        }

        override fun storeRestored() {
            seen += "restored"
        }

        override fun storeRecovered(agoMs: Long) {
            seen += "returned"
        }
    }
}
