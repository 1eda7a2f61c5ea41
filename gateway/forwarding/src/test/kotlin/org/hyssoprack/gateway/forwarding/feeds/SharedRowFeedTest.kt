package org.hyssoprack.gateway.forwarding.feeds

import arrow.core.Either
import arrow.core.right
import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import net.jqwik.api.Example
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.Region
import org.hyssoprack.common.ResultCode
import org.hyssoprack.link.Link
import org.hyssoprack.link.ReceivedMessage
import org.hyssoprack.membership.Member
import org.hyssoprack.membership.MemberView
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow
import org.hyssoprack.store.RowChanges
import org.hyssoprack.store.RowFeed
import org.hyssoprack.store.RowSnapshot
import org.hyssoprack.store.StoreEra
import org.hyssoprack.store.StorePosition

class SharedRowFeedTest {
    private val clock = ManualClock(100_000)

    /** Feed of the store itself; counts the calls. */
    private class StoreFeed : RowFeed {
        var calls = 0

        override suspend fun read(): Either<Failure, RowSnapshot> {
            calls++
            return RowSnapshot(listOf(FeedRow("store", "1")), StorePosition(50)).right()
        }

        override suspend fun changes(
            position: StorePosition,
            waitMs: Long
        ): Either<Failure, RowChanges> {
            calls++
            return RowChanges(emptyList(), position).right()
        }
    }

    /** Delivers immediately to the [SharedFeeds] of the other host. */
    private class DirectLink(private val from: HostRef, private val isCut: Boolean) : Link {
        lateinit var other: SharedFeeds
        override val incoming: ReceiveChannel<ReceivedMessage> = Channel()

        override fun send(to: HostId, message: HostMessage) {
            if (!isCut) other.receive(from, message as FeedMessage)
        }

        override fun sendTo(address: NetworkAddress, message: HostMessage) = Unit

        override fun setAddress(host: HostId, address: NetworkAddress) = Unit

        override suspend fun close() = Unit
    }

    private inner class Pair(scope: CoroutineScope, isCut: Boolean = false) {
        val store = StoreFeed()
        private val requesterLink = DirectLink(ref("requester"), isCut)
        private val readerLink = DirectLink(ref("reader"), isCut)
        private val requester = SharedFeeds(Incarnation(1), requesterLink, clock, scope)
        private val reader = SharedFeeds(Incarnation(1), readerLink, clock, scope)
        val replica = reader.replica(TABLE)
        val observer = TableReplicaUpdater(TABLE, reader)
        val feed = SharedRowFeed(
            table = TABLE,
            direct = store,
            feeds = requester,
            readers = { listOf(HostId("reader")) },
            clock = clock,
            log = NoOpEventLog,
            mostAgeMs = 2_000,
            mostSilenceMs = 2_000
        )

        init {
            requesterLink.other = reader
            readerLink.other = requester
        }

        /** Tells the requester of [era], as a message of a third host does. */
        fun heardOf(era: StoreEra?) = requester.receive(
            ref("third"),
            FeedMessage.Unavailable(number = -1, era = era)
        )

        fun readAll(
            rows: List<FeedRow> = listOf(FeedRow("k", "1")),
            position: StorePosition = StorePosition(10)
        ) {
            observer.replaced(RowSnapshot(rows, position))
            observer.confirmed(ClockReading.now(clock))
        }
    }

    @Example
    fun `the store is read only if no reader has fresh data`() {
        class Case(val name: String, val ageMs: Long?, val isCut: Boolean, val storeCalls: Int)
        val cases = listOf(
            Case("fresh", ageMs = 900, isCut = false, storeCalls = 0),
            Case("too old", ageMs = 2_500, isCut = false, storeCalls = 1),
            Case("reader has no data", ageMs = null, isCut = false, storeCalls = 1),
            Case("partitioned", ageMs = 0, isCut = true, storeCalls = 1)
        )
        for (case in cases) {
            runBlocking {
                val pair = Pair(this, case.isCut)
                if (case.ageMs != null) {
                    pair.readAll()
                    clock.advance(case.ageMs)
                }
                val read = pair.feed.read().getOrNull()!!
                assertThat(pair.store.calls, case.name).isEqualTo(case.storeCalls)
                val expected = if (case.storeCalls == 0) case.ageMs else 0L
                assertThat(read.ageMs, case.name).isEqualTo(expected)
            }
        }
    }

    @Example
    fun `changes since the revision of the requester come in order, and lost history is reported`() {
        runBlocking {
            val pair = Pair(this)
            pair.readAll()
            pair.observer.changed(RowChanges(listOf(FeedRow("k", "2")), StorePosition(12)))
            pair.observer.changed(RowChanges(listOf(FeedRow("l", null)), StorePosition(15)))
            pair.observer.confirmed(ClockReading.now(clock))
            class Case(val since: Long, val keys: List<String>?, val revision: Long)
            val cases = listOf(
                Case(since = 10, keys = listOf("k", "l"), revision = 15),
                Case(since = 12, keys = listOf("l"), revision = 15),
                Case(since = 15, keys = emptyList(), revision = 15),
                Case(since = 20, keys = emptyList(), revision = 20),
                Case(since = 4, keys = null, revision = 0)
            )
            for (case in cases) {
                val reply = pair.feed.changes(StorePosition(case.since), waitMs = 0).getOrNull()
                assertThat(reply?.rows?.map { it.key }, "${case.since}").isEqualTo(case.keys)
                assertThat(reply?.position?.revision ?: 0, "${case.since}").isEqualTo(case.revision)
            }
            assertThat(pair.store.calls).isEqualTo(0)
        }
    }

    @Example
    fun `a host does not take a restored store for an unchanged one`() {
        class Case(
            val name: String,
            val reader: StoreEra?,
            val since: StorePosition,
            val hasLost: Boolean,
            val storeCalls: Int = 0
        )
        val cases = listOf(
            Case("same era", ERA_2, StorePosition(10, ERA_2), hasLost = false),
            Case("reader ahead", ERA_2, StorePosition(10, ERA_1), hasLost = true),
            Case("reader ahead, lower revision", ERA_2, StorePosition(72, ERA_1), hasLost = true),
            Case("reader behind", ERA_1, StorePosition(10, ERA_2), false, storeCalls = 1),
            Case("reader of a build before", null, StorePosition(10, ERA_2), false, storeCalls = 1),
            Case("host of a build before", ERA_2, StorePosition(10), hasLost = false),
            Case("host of a build before, ahead", ERA_2, StorePosition(72), hasLost = true),
            Case("store without eras", null, StorePosition(72), hasLost = false)
        )
        for (case in cases) {
            runBlocking {
                val pair = Pair(this)
                pair.readAll(position = StorePosition(10, case.reader))
                pair.heardOf(case.since.era)
                val result = pair.feed.changes(case.since, waitMs = 0)
                val isLost = result.leftOrNull()?.code == ResultCode.HISTORY_LOST
                assertThat(isLost, case.name).isEqualTo(case.hasLost)
                assertThat(pair.store.calls, case.name).isEqualTo(case.storeCalls)
            }
        }
    }

    @Example
    fun `rows of an older era than a host has heard of are not taken from a reader`() {
        class Case(val name: String, val heard: StoreEra?, val reader: StoreEra?, val from: String)
        val cases = listOf(
            Case("reader up to date", ERA_2, ERA_2, from = "k"),
            Case("reader newer", ERA_1, ERA_2, from = "k"),
            Case("reader older", ERA_2, ERA_1, from = "store"),
            Case("reader of a build before", ERA_2, null, from = "store"),
            Case("store without eras", null, null, from = "k")
        )
        for (case in cases) {
            runBlocking {
                val pair = Pair(this)
                pair.readAll(position = StorePosition(10, case.reader))
                pair.heardOf(case.heard)
                val read = pair.feed.read().getOrNull()!!
                assertThat(read.rows.single().key, case.name).isEqualTo(case.from)
            }
        }
    }

    @Example
    fun `requests held at a reader are answered when it notices that the store was restored`() {
        runBlocking {
            val pair = Pair(this)
            pair.readAll(position = StorePosition(72, ERA_1))
            val held = async { pair.feed.changes(StorePosition(72, ERA_1), waitMs = 5_000) }
            yield()
            pair.readAll(position = StorePosition(60, ERA_2))
            assertThat(held.await().leftOrNull()?.code).isEqualTo(ResultCode.HISTORY_LOST)
        }
    }

    @Example
    fun `store calls hardly grow with the fleet, and each reader serves a bounded number of hosts`() {
        for (hosts in listOf(9, 95, 300)) {
            val view = members(hosts)
            val hostsByReader = view.members.keys
                .map { FeedReaderSelector(it, { view }).readersOf(TABLE).firstOrNull() ?: it }
                .groupingBy { it }.eachCount()
            assertThat(hostsByReader.size, "$hosts hosts").isBetween(1, 2 + hosts / 40)
            assertThat(hostsByReader.values.max(), "$hosts hosts").isBetween(1, 80)
        }
    }

    private fun members(count: Int) = MemberView(
        (1..count).associate {
            val ref = ref("host-$it")
            ref.host to Member(
                ref = ref,
                linkAddress = NetworkAddress("10.0.0.1", it),
                callerAddress = NetworkAddress("10.0.0.1", it),
                domain = FailureDomain("z"),
                region = Region("r"),
                bundle = BundleVersion(1)
            )
        }
    )

    private fun ref(name: String) = HostRef(HostId(name), Incarnation(1))

    private companion object {
        const val TABLE = "t"
        val ERA_1 = StoreEra(1)
        val ERA_2 = StoreEra(2)
    }
}
