package org.hyssoprack.gateway.forwarding.feeds

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.TaskSupervisor
import org.hyssoprack.gateway.forwarding.FeedFollower
import org.hyssoprack.gateway.forwarding.FeedSink
import org.hyssoprack.gateway.forwarding.ratelimit.SimulatedTime
import org.hyssoprack.link.Link
import org.hyssoprack.link.ReceivedMessage
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow
import org.hyssoprack.store.RowChanges
import org.hyssoprack.store.RowFeed
import org.hyssoprack.store.RowSnapshot
import org.hyssoprack.store.StorePosition

/** Two readers and four hosts that follow one row of the store through them, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class FeedFleet(seed: Int) {
    /** What becomes of a host's calls to the store. */
    enum class StorePath { OPEN, REFUSED, SILENT, CHANGING }

    private val random = Random(seed)
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler) + SupervisorJob())
    private val clock = SimulatedTime(scheduler)
    private val acknowledgedMs = ArrayList<Long>()

    val readers = List(READERS) { Host(HostId("reader-$it"), readers = emptyList()) }
    val followers = List(FOLLOWERS) { index ->
        val order = readers.map { it.id }
        Host(HostId("follower-$index"), if (index % 2 == 0) order else order.reversed())
    }

    /** Longest time that a follower took to have a change, in milliseconds. */
    var worstDelayMs = 0L
        private set

    /** Largest number of calls of a follower to the store, without the first. */
    val callsPerFollower: Int get() = followers.maxOf { it.calls } - 1

    init {
        acknowledgedMs += clock.nowMs()
        (readers + followers).forEach { it.start() }
        scope.launch { watch() }
    }

    private val changes = scope.launch { writeChanges() }

    /** Version of the row in the store. */
    val newestVersion: Int get() = acknowledgedMs.lastIndex

    /** Ends the changes of the row. */
    fun stopChanges() = changes.cancel()

    fun advance(ms: Long) = scheduler.advanceTimeBy(ms)

    fun end() = scope.cancel()

    private suspend fun writeChanges() {
        while (true) {
            delay(random.nextLong(MIN_GAP_MS, MAX_GAP_MS))
            acknowledgedMs += clock.nowMs()
        }
    }

    private suspend fun watch() {
        while (true) {
            delay(WATCH_MS)
            for (host in followers) {
                val missingMs = acknowledgedMs.getOrNull(host.version + 1) ?: continue
                worstDelayMs = maxOf(worstDelayMs, clock.nowMs() - missingMs)
            }
        }
    }

    inner class Host(val id: HostId, private val readers: List<HostId>) :
        RowFeed,
        FeedSink {
        val ref = HostRef(id, Incarnation(1))
        val feeds = SharedFeeds(ref.incarnation, HostLink(this), clock, scope)
        var storePath = StorePath.OPEN
        var isMute = false
        var isDeaf = false

        /** Makes this host's sink throw when it applies rows. */
        var isFailing: () -> Boolean = { false }
        var calls = 0
            private set
        var version = 0
            private set

        fun start() {
            val feed = SharedRowFeed(
                table = TABLE,
                direct = this,
                feeds = feeds,
                readers = { readers },
                clock = clock,
                log = NoOpEventLog,
                mostAgeMs = 2_500,
                mostSilenceMs = 1_300
            )
            val updater = TableReplicaUpdater(TABLE, feeds)
            val follower = FeedFollower(TABLE, feed, this, clock, NoOpEventLog, WAIT_MS, updater)
            TaskSupervisor(scope, clock, NoOpEventLog).launch("follow") { follower.run() }
        }

        override suspend fun read(): Either<Failure, RowSnapshot> = call {
            RowSnapshot(listOf(row()), position())
        }

        override suspend fun changes(
            position: StorePosition,
            waitMs: Long
        ): Either<Failure, RowChanges> = call {
            val endMs = clock.nowMs() + waitMs
            while (position() == position && clock.nowMs() < endMs) delay(STORE_STEP_MS)
            val rows = if (position() == position) emptyList() else listOf(row())
            RowChanges(rows, position())
        }

        override fun replace(rows: List<FeedRow>) = change(rows)

        override fun change(rows: List<FeedRow>): Boolean {
            if (isFailing()) throw StackOverflowError()
            rows.lastOrNull()?.value?.let { version = it.toInt() }
            return true
        }

        override fun confirm(readStarted: ClockReading) = Unit

        override fun storeRestored() = Unit

        override fun storeRecovered(agoMs: Long) = Unit

        private suspend fun <T> call(answer: suspend () -> T): Either<Failure, T> {
            calls++
            delay(STORE_MS)
            if (isRefused()) return outage()
            val result = answer()
            delay(STORE_MS)
            if (storePath == StorePath.SILENT) delay(CALL_TIMEOUT_MS)
            return if (storePath == StorePath.SILENT || isRefused()) outage() else result.right()
        }

        private fun isRefused() = when (storePath) {
            StorePath.REFUSED -> true
            StorePath.CHANGING -> clock.nowMs() / CHANGE_MS % 2 == 0L
            else -> false
        }

        private fun outage() = Failure(ResultCode.STORE_UNAVAILABLE, "no reply").left()

        private fun position() = StorePosition(acknowledgedMs.size.toLong())

        private fun row() = FeedRow(KEY, "${acknowledgedMs.lastIndex}")
    }

    private inner class HostLink(private val self: Host) : Link {
        override val incoming: ReceiveChannel<ReceivedMessage> = Channel()

        override fun send(to: HostId, message: HostMessage) {
            val target = (readers + followers).first { it.id == to }
            scope.launch {
                delay(MESSAGE_MS)
                if (self.isMute || target.isDeaf) return@launch
                target.feeds.receive(self.ref, message as FeedMessage)
            }
        }

        override fun sendTo(address: NetworkAddress, message: HostMessage) = Unit

        override fun setAddress(host: HostId, address: NetworkAddress) = Unit

        override suspend fun close() = Unit
    }

    private companion object {
        const val TABLE = "t"
        const val KEY = "k"
        const val READERS = 2
        const val FOLLOWERS = 4
        const val WAIT_MS = 1_000L
        const val CALL_TIMEOUT_MS = 900L
        const val STORE_MS = 5L
        const val STORE_STEP_MS = 5L
        const val MESSAGE_MS = 2L
        const val WATCH_MS = 20L
        const val CHANGE_MS = 700L
        const val MIN_GAP_MS = 50L
        const val MAX_GAP_MS = 2_500L
    }
}
