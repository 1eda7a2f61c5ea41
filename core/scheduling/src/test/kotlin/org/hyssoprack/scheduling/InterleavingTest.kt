package org.hyssoprack.scheduling

import assertk.assertThat
import assertk.assertions.isEmpty
import assertk.assertions.isEqualTo
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.Tuple
import org.hyssoprack.common.PoolName
import org.hyssoprack.policy.Pool

class InterleavingTest {
    @Property(seed = SEED, tries = TRIES)
    fun `no request is dispatched twice or after its end`(@ForAll("histories") history: History) {
        val simulation = play(history)
        assertThat(simulation.requests.values.filter { it.dispatches > 1 }).isEmpty()
        assertThat(simulation.violations.filter { "dispatch" in it }).isEmpty()
    }

    @Property(seed = SEED, tries = TRIES)
    fun `each request ends in exactly one outcome`(@ForAll("histories") history: History) {
        val simulation = play(history)
        assertThat(simulation.requests.values.filter { it.outcomes.size != 1 }).isEmpty()
        assertThat(simulation.inProgress()).isEqualTo(0)
    }

    @Property(seed = SEED, tries = TRIES)
    fun `no request is shed while a lower-tier one runs`(@ForAll("histories") history: History) {
        assertThat(play(history).violations.filter { "shed" in it }).isEmpty()
    }

    @Property(seed = SEED, tries = TRIES)
    fun `owners are unreachable only when messages are lost or late`(
        @ForAll("histories") history: History
    ) {
        val withoutFaults = history.copy(dropPercent = 0, maxDelayMs = 10)
        val actions = history.actions.filter {
            it is SimulationAction.Run ||
                it is SimulationAction.Burst ||
                (it is SimulationAction.Submit && it.hasEnoughTime())
        }
        val simulation = play(withoutFaults.copy(actions = actions))
        val outcomes = simulation.requests.values.flatMap { it.outcomes }
        assertThat(outcomes.filter { it == "host-unreachable" }).isEmpty()
    }

    @Property(seed = SEED, tries = TRIES)
    fun `calls that may not be repeated are never preempted`(
        @ForAll("histories") history: History
    ) {
        val calls = play(history).requests.values.filter { it.request.once }
        assertThat(calls.filter { it.preemptions > 0 }).isEmpty()
    }

    @Property(seed = SEED, tries = TRIES)
    fun `all slots can be lent again after the faults`(@ForAll("histories") history: History) {
        val simulation = play(history)
        repeat(SLOTS * SERVERS) {
            simulation.submit(simulation.anyHost(), tier = 2, runsMs = 2_000)
            simulation.run(100)
        }
        simulation.run(500)
        assertThat(simulation.running().size).isEqualTo(SLOTS * SERVERS)
    }

    /**
     * Returns true if the deadline allows for preemption of a lower tier first. The policy compiler
     * allows calls that may not be repeated in the highest tier only, as they cannot be preempted.
     */
    private fun SimulationAction.Submit.hasEnoughTime(): Boolean =
        deadlineMs >= MIN_DEADLINE_MS && (kind != ONCE || tier == 0)

    private fun play(history: History): SchedulerSimulation {
        val settings = SimulationSettings(
            hosts = HOSTS,
            servers = SERVERS,
            slots = SLOTS,
            pool = Pool(PoolName("p"), queueLimit = 4),
            dropPercent = history.dropPercent,
            duplicatePercent = history.duplicatePercent,
            maxDelayMs = history.maxDelayMs,
            canSuspend = history.canSuspend
        )
        val simulation = SchedulerSimulation(history.seed, settings)
        history.actions.forEach { it.apply(simulation) }
        simulation.endFaults()
        simulation.run(QUIET_MS)
        return simulation
    }

    @Provide
    fun histories(): Arbitrary<History> = Combinators.combine(
        Arbitraries.longs(),
        Arbitraries.of(0, 5, 30),
        Arbitraries.of(0, 20),
        Arbitraries.of(1, 10, 500, 3_000),
        Arbitraries.of(true, false),
        actions().list().ofMinSize(5).ofMaxSize(60)
    ).`as` { seed, drop, duplicate, delay, suspend, actions ->
        History(seed, drop, duplicate, delay, suspend, actions)
    }

    private fun actions(): Arbitrary<SimulationAction> = Arbitraries.frequencyOf(
        entry(12, submits()),
        entry(4, bursts()),
        entry(8, ints(5, 400).map { SimulationAction.Run(it) }),
        entry(1, ints(500, 4_000).map { SimulationAction.Run(it) }),
        entry(1, ints(0, 99).map { SimulationAction.GiveUp(it) }),
        entry(1, ints(0, 99).map { SimulationAction.Resubmit(it) }),
        entry(1, hosts().map { SimulationAction.Kill(it) }),
        entry(1, hosts().map { SimulationAction.Restart(it) }),
        entry(1, ownerChanges()),
        entry(1, leavingChanges()),
        entry(1, partitions())
    )

    private fun submits(): Arbitrary<out SimulationAction> = Combinators.combine(
        hosts(),
        ints(0, 2),
        ints(10, 3_000),
        ints(1, 4_000),
        ints(0, 1),
        ints(0, 3)
    ).`as` { host, tier, runs, deadline, account, kind ->
        SimulationAction.Submit(host, tier, runs, deadline, account, kind)
    }

    private fun bursts(): Arbitrary<out SimulationAction> =
        Combinators.combine(hosts(), ints(0, 2), ints(2, 8)).`as` { host, tier, count ->
            SimulationAction.Burst(host, tier, count)
        }

    private fun ownerChanges(): Arbitrary<out SimulationAction> =
        Combinators.combine(ints(0, SERVERS - 1), hosts()).`as` { server, host ->
            SimulationAction.ChangeOwner(server, host)
        }

    private fun leavingChanges(): Arbitrary<out SimulationAction> =
        Combinators.combine(ints(0, SERVERS - 1), Arbitraries.of(true, false)).`as` {
                server,
                leaving
            ->
            SimulationAction.SetLeaving(server, leaving)
        }

    private fun partitions(): Arbitrary<out SimulationAction> =
        Combinators.combine(hosts(), Arbitraries.of(true, false)).`as` { host, isPartitioned ->
            SimulationAction.SetPartitioned(host, isPartitioned)
        }

    private fun hosts(): Arbitrary<Int> = ints(0, HOSTS - 1)

    private fun ints(from: Int, to: Int): Arbitrary<Int> = Arbitraries.integers().between(from, to)

    private fun entry(
        weight: Int,
        actions: Arbitrary<out SimulationAction>
    ): Tuple.Tuple2<Int, Arbitrary<out SimulationAction>> = Tuple.of(weight, actions)

    data class History(
        val seed: Long,
        val dropPercent: Int,
        val duplicatePercent: Int,
        val maxDelayMs: Int,
        val canSuspend: Boolean,
        val actions: List<SimulationAction>
    )

    private companion object {
        const val SEED = "4711"
        const val TRIES = 150
        const val HOSTS = 3
        const val SERVERS = 3
        const val SLOTS = 2
        const val ONCE = 1
        const val MIN_DEADLINE_MS = 1_000
        const val QUIET_MS = 45_000L
    }
}
