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
        val world = RolloutSimulation(size, random)
        world.accept(world.hosts.first())
        repeat(8) {
            fail(world, random)
            world.run(random.nextLong(0, 2_000))
            world.accept(world.hosts.random(random))
            world.run(5_000)
        }
        heal(world)
        world.run(5_000)
        assertThat(world.hosts.map { it.version }).each { it.isEqualTo(world.latest) }
        assertThat(world.hosts.map { it.isCurrent }).each { it.isTrue() }
    }

    @Property(tries = 100)
    fun `an accepted bundle is in force on all hosts within 4 s`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 9) size: Int
    ) {
        val world = settled(size, seed)
        world.lossPercent = 5
        repeat(3) {
            world.accept(world.hosts.random(Random(seed)))
            world.run(RolloutSimulation.BOUND_MS)
            assertThat(world.hosts.map { it.version }).each { it.isEqualTo(world.latest) }
        }
    }

    @Property(tries = 50)
    fun `an outage of the store for all hosts leaves all of them current`(@ForAll seed: Long) {
        val world = settled(size = 9, seed = seed)
        world.storeIsDown = true
        repeat(200) {
            world.run(100)
            assertThat(world.hosts.map { it.isCurrent }).each { it.isTrue() }
        }
    }

    @Property(tries = 50)
    fun `a host that only loses the store stays current and receives new versions`(
        @ForAll seed: Long
    ) {
        val world = settled(size = 5, seed = seed)
        val host = world.hosts.last()
        world.cutFromStore += host
        repeat(3) {
            world.accept(world.hosts.first())
            world.run(RolloutSimulation.BOUND_MS)
            assertThat(host.version).isEqualTo(world.latest)
            assertThat(host.isCurrent).isTrue()
        }
    }

    @Property(tries = 50)
    fun `a host that loses the store and most peers is not current after 4 s`(@ForAll seed: Long) {
        val world = settled(size = 5, seed = seed)
        val host = world.hosts.last()
        world.cutFromStore += host
        world.hosts.take(3).forEach { world.cutLinks += setOf(host, it) }
        // Its only peer is also cut off from the store, so that it has no recent confirmation to
        // pass on.
        world.cutFromStore += world.hosts[3]
        world.hosts.take(3).forEach { world.cutLinks += setOf(world.hosts[3], it) }
        world.run(RolloutSimulation.BOUND_MS)
        assertThat(host.isCurrent).isFalse()
        world.accept(world.hosts.first())
        world.run(RolloutSimulation.BOUND_MS)
        assertThat(host.isCurrent).isFalse()
        heal(world)
        world.run(RolloutSimulation.BOUND_MS)
        assertThat(host.version).isEqualTo(world.latest)
        assertThat(host.isCurrent).isTrue()
    }

    @Property(tries = 50)
    fun `a host is not current at the moment it resumes from a pause`(@ForAll seed: Long) {
        val world = settled(size = 5, seed = seed)
        val host = world.hosts.last()
        val before = host.version
        host.pausedUntilMs = world.nowMs + 20_000
        world.run(1_000)
        world.accept(world.hosts.first())
        world.run(18_980)
        assertThat(host.isCurrent).isFalse()
        assertThat(host.version).isEqualTo(before)
        world.run(1_000)
        assertThat(host.version).isEqualTo(world.latest)
        assertThat(host.isCurrent).isTrue()
    }

    @Property(tries = 50)
    fun `a host that starts during an outage of the store gets the bundle from its peers`(
        @ForAll seed: Long
    ) {
        val world = RolloutSimulation(size = 5, random = Random(seed))
        val late = world.hosts.last()
        world.accept(world.hosts.first())
        late.pausedUntilMs = world.nowMs + 10_000
        world.run(5_000)
        world.storeIsDown = true
        world.run(10_000)
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
        val world = RolloutSimulation(size, Random(seed))
        world.accept(world.hosts.first())
        world.run(RolloutSimulation.BOUND_MS)
        return world
    }

    private fun fail(world: RolloutSimulation, random: Random) {
        heal(world)
        world.lossPercent = listOf(0, 5, 30).random(random)
        world.storeIsDown = random.nextInt(4) == 0
        for (host in world.hosts) {
            if (random.nextInt(3) == 0) world.cutFromStore += host
            if (random.nextInt(4) == 0) host.pausedUntilMs = world.nowMs + random.nextLong(12_000)
            val peer = world.hosts.random(random)
            if (random.nextInt(2) == 0 && peer !== host) world.cutLinks += setOf(host, peer)
        }
    }

    private fun heal(world: RolloutSimulation) {
        world.storeIsDown = false
        world.lossPercent = 0
        world.cutFromStore.clear()
        world.cutLinks.clear()
        world.hosts.forEach { it.pausedUntilMs = minOf(it.pausedUntilMs, world.nowMs) }
    }
}
