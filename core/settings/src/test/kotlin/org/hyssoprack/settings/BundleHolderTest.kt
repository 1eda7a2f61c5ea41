package org.hyssoprack.settings

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEqualTo
import assertk.assertions.isNull
import assertk.assertions.isTrue
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.OperatorName
import org.hyssoprack.store.Row

class BundleHolderTest {
    private val clock = ManualClock(ms = 1_000)
    private val table = FakeTable()
    private val objects = FakeObjects()
    private val peer = HostRef(HostId("peer"), Incarnation(1))
    private val sent = mutableListOf<BundleMessage>()

    @Example
    fun `the accepted bundle is read, fetched, validated and put in force`() = holding { holder ->
        publish(version = 1, number = 1)
        awaitVersion(holder, 1)
        assertThat(holder.current(clock.nowMs())?.hash).isEqualTo(TestBundles.hash(1))
    }

    @Example
    fun `nothing is current before the first bundle`() = holding { holder ->
        repeat(3) { delay(STEP_MS) }
        assertThat(holder.current(clock.nowMs())).isNull()
        assertThat(holder.active.value).isNull()
    }

    @Example
    fun `a body from a peer replaces the read from the object store`() = holding { holder ->
        publish(version = 1, number = 1)
        objects.isDown = true
        holder.onPeerVersion(peer.host, BundleVersion(1))
        await { sent.any { it is BundleMessage.Fetch } }
        holder.receive(peer, BundleMessage.Body(BundleVersion(1), TestBundles.hash(1), json(1)))
        awaitVersion(holder, 1)
    }

    @Example
    fun `a body that does not match its hash is discarded`() = holding { holder ->
        publish(version = 1, number = 1)
        objects.isDown = true
        // The holder reads from the object store once it has the hash from the row.
        await { objects.gets > 0 }
        holder.onPeerVersion(peer.host, BundleVersion(1))
        val wrong = BundleMessage.Body(BundleVersion(1), TestBundles.hash(1), json(2))
        val other = BundleMessage.Body(BundleVersion(1), TestBundles.hash(2), json(2))
        holder.receive(peer, wrong)
        holder.receive(peer, other)
        repeat(3) { delay(STEP_MS) }
        assertThat(holder.active.value).isNull()
        objects.isDown = false
        awaitVersion(holder, 1)
        assertThat(holder.active.value?.hash).isEqualTo(TestBundles.hash(1))
    }

    @Example
    fun `peers receive the body in force and its confirmation`() = holding { holder ->
        publish(version = 3, number = 3)
        awaitVersion(holder, 3)
        holder.receive(peer, BundleMessage.Fetch(BundleVersion(2)))
        holder.receive(peer, BundleMessage.Fetch(BundleVersion(4)))
        holder.receive(peer, BundleMessage.Ask(sequence = 7))
        await { sent.any { it is BundleMessage.State && it.sequence == 7L } }
        assertThat(sent.filterIsInstance<BundleMessage.Body>().map { it.json })
            .containsExactly(json(3))
        val state = sent.filterIsInstance<BundleMessage.State>().first { it.sequence == 7L }
        assertThat(state.version).isEqualTo(BundleVersion(3))
        assertThat(state.settled).isTrue()
    }

    @Example
    fun `a paused host serves nothing until it has read the row again`() = holding { holder ->
        publish(version = 1, number = 1)
        awaitVersion(holder, 1)
        table.faultPercent = 100
        clock.advance(60_000)
        assertThat(holder.current(clock.nowMs())).isNull()
        assertThat(holder.active.value?.version).isEqualTo(BundleVersion(1))
        repeat(3) { delay(STEP_MS) }
        assertThat(holder.current(clock.nowMs())).isNull()
        table.faultPercent = 0
        await { clock.advance(100).let { holder.current(clock.nowMs()) != null } }
    }

    @Example
    fun `a bundle that cannot be compiled keeps the previous one in force but not current`() =
        holding { holder ->
            publish(version = 1, number = 1)
            awaitVersion(holder, 1)
            val hash = objects.put("{}".encodeToByteArray()).getOrNull()!!
            publish(version = 2, hash = hash)
            await { clock.advance(100).let { holder.current(clock.nowMs()) == null } }
            assertThat(holder.active.value?.version).isEqualTo(BundleVersion(1))
            publish(version = 3, number = 3)
            await { clock.advance(100).let { holder.active.value?.version == BundleVersion(3) } }
        }

    private fun holding(test: suspend CoroutineScope.(DefaultBundleHolder) -> Unit) = runBlocking {
        // The tasks of the holder must have ended before the event loop of the test does.
        val tasks = Job(coroutineContext.job)
        val holder = DefaultBundleHolder(
            scope = CoroutineScope(coroutineContext + tasks),
            table = table,
            objects = objects,
            sendToPeer = { _, message -> sent += message },
            peers = { listOf(peer.host) },
            peersReachable = { 1.0 },
            clock = clock,
            log = NoOpEventLog,
            random = Random(1)
        )
        holder.start()
        test(holder)
        tasks.cancelAndJoin()
    }

    private suspend fun publish(version: Long, number: Int) {
        publish(version, objects.put(json(number).encodeToByteArray()).getOrNull()!!)
    }

    private fun publish(version: Long, hash: ContentHash) {
        val bundle = AcceptedBundle(BundleVersion(version), hash, OperatorName("ann"), "c$version")
        val row = Row(BundleRows.ACCEPTED, revision = version, value = BundleRows.encode(bundle))
        table.rows[BundleRows.ACCEPTED] = row
    }

    private fun json(number: Int) = TestBundles.json(number)

    private suspend fun awaitVersion(holder: BundleHolder, version: Long) = await {
        clock.advance(100)
        holder.active.value?.version == BundleVersion(version)
    }

    private suspend fun await(condition: () -> Boolean) = withTimeout(TIMEOUT_MS) {
        while (!condition()) delay(STEP_MS)
    }

    private companion object {
        const val STEP_MS = 20L
        const val TIMEOUT_MS = 20_000L
    }
}
