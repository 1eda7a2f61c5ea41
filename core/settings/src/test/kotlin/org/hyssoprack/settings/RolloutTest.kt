package org.hyssoprack.settings

import assertk.assertThat
import assertk.assertions.each
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import assertk.assertions.isTrue
import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.OperatorName

class RolloutTest {
    @Property(tries = 400)
    fun `no host serves a version that was replaced more than 4 s ago, whatever fails`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 3, max = 7) size: Int
    ) {
        val random = Random(seed)
        val cluster = RolloutSimulation(size, random)
        cluster.accept(cluster.hosts.first())
        repeat(8) {
            fail(cluster, random)
            cluster.run(random.nextLong(0, 2_000))
            cluster.accept(cluster.hosts.random(random))
            cluster.run(5_000)
        }
        heal(cluster)
        cluster.run(5_000)
        assertThat(cluster.hosts.map { it.version }).each { it.isEqualTo(cluster.latest) }
        assertThat(cluster.hosts.map { it.isCurrent }).each { it.isTrue() }
    }

    @Property(tries = 100)
    fun `an accepted bundle is in force on all hosts within 4 s`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 9) size: Int
    ) {
        val cluster = settled(size, seed)
        cluster.lossPercent = 5
        repeat(3) {
            cluster.accept(cluster.hosts.random(Random(seed)))
            cluster.run(RolloutSimulation.BOUND_MS)
            assertThat(cluster.hosts.map { it.version }).each { it.isEqualTo(cluster.latest) }
        }
    }

    @Property(tries = 50)
    fun `an outage of the store for all hosts leaves all of them current`(@ForAll seed: Long) {
        val cluster = settled(size = 9, seed = seed)
        cluster.storeIsDown = true
        repeat(200) {
            cluster.run(100)
            assertThat(cluster.hosts.map { it.isCurrent }).each { it.isTrue() }
        }
    }

    @Property(tries = 50)
    fun `a host that only loses the store stays current and receives new versions`(
        @ForAll seed: Long
    ) {
        val cluster = settled(size = 5, seed = seed)
        val host = cluster.hosts.last()
        cluster.cutFromStore += host
        repeat(3) {
            cluster.accept(cluster.hosts.first())
            cluster.run(RolloutSimulation.BOUND_MS)
            assertThat(host.version).isEqualTo(cluster.latest)
            assertThat(host.isCurrent).isTrue()
        }
    }

    @Property(tries = 50)
    fun `a host that loses the store and most peers is not current after 4 s`(@ForAll seed: Long) {
        val cluster = settled(size = 5, seed = seed)
        val host = cluster.hosts.last()
        cluster.cutFromStore += host
        cluster.hosts.take(3).forEach { cluster.cutLinks += setOf(host, it) }
        // Its only peer is also cut off from the store, so that it has no recent confirmation to
        // pass on.
        cluster.cutFromStore += cluster.hosts[3]
        cluster.hosts.take(3).forEach { cluster.cutLinks += setOf(cluster.hosts[3], it) }
        cluster.run(RolloutSimulation.BOUND_MS)
        assertThat(host.isCurrent).isFalse()
        cluster.accept(cluster.hosts.first())
        cluster.run(RolloutSimulation.BOUND_MS)
        assertThat(host.isCurrent).isFalse()
        heal(cluster)
        cluster.run(RolloutSimulation.BOUND_MS)
        assertThat(host.version).isEqualTo(cluster.latest)
        assertThat(host.isCurrent).isTrue()
    }

    @Property(tries = 50)
    fun `a host is not current at the moment it resumes from a pause`(@ForAll seed: Long) {
        val cluster = settled(size = 5, seed = seed)
        val host = cluster.hosts.last()
        val before = host.version
        host.pausedUntilMs = cluster.nowMs + 20_000
        cluster.run(1_000)
        cluster.accept(cluster.hosts.first())
        cluster.run(18_980)
        assertThat(host.isCurrent).isFalse()
        assertThat(host.version).isEqualTo(before)
        cluster.run(1_000)
        assertThat(host.version).isEqualTo(cluster.latest)
        assertThat(host.isCurrent).isTrue()
    }

    @Property(tries = 50)
    fun `a host that starts during an outage of the store gets the bundle from its peers`(
        @ForAll seed: Long
    ) {
        val cluster = RolloutSimulation(size = 5, random = Random(seed))
        val late = cluster.hosts.last()
        cluster.accept(cluster.hosts.first())
        late.pausedUntilMs = cluster.nowMs + 10_000
        cluster.run(5_000)
        cluster.storeIsDown = true
        cluster.run(10_000)
        assertThat(late.version).isEqualTo(BundleVersion(1))
        assertThat(late.isCurrent).isTrue()
    }

    @Example
    fun `a version is put in force once and never a lower one`() {
        val rollout = RolloutSimulation(size = 1, random = Random(1)).hosts.first().rollout
        val row = AcceptedBundle(
            version = BundleVersion(2),
            hash = ContentHash.of("two"),
            acceptedBy = OperatorName("op"),
            changeId = "c2"
        )
        rollout.rowRead(startedAtMs = 0, row = row)
        val ref = BundleRef(row.version, row.hash)
        val other = BundleRef(row.version, ContentHash.of("other"))
        val older = BundleRef(BundleVersion(1), row.hash)
        assertThat(listOf(ref, other, older).map { rollout.needsBody(it) })
            .isEqualTo(listOf(true, false, false))
        rollout.adopted(ref, nowMs = 0)
        assertThat(rollout.needsBody(ref)).isFalse()
    }

    private fun settled(size: Int, seed: Long): RolloutSimulation {
        val cluster = RolloutSimulation(size, Random(seed))
        cluster.accept(cluster.hosts.first())
        cluster.run(RolloutSimulation.BOUND_MS)
        return cluster
    }

    private fun fail(cluster: RolloutSimulation, random: Random) {
        heal(cluster)
        cluster.lossPercent = listOf(0, 5, 30).random(random)
        cluster.storeIsDown = random.nextInt(4) == 0
        for (host in cluster.hosts) {
            if (random.nextInt(3) == 0) cluster.cutFromStore += host
            if (random.nextInt(4) == 0) host.pausedUntilMs = cluster.nowMs + random.nextLong(12_000)
            val peer = cluster.hosts.random(random)
            if (random.nextInt(2) == 0 && peer !== host) cluster.cutLinks += setOf(host, peer)
        }
    }

    private fun heal(cluster: RolloutSimulation) {
        cluster.storeIsDown = false
        cluster.lossPercent = 0
        cluster.cutFromStore.clear()
        cluster.cutLinks.clear()
        cluster.hosts.forEach { it.pausedUntilMs = minOf(it.pausedUntilMs, cluster.nowMs) }
    }
}
