package org.hyssoprack.scheduling

import java.util.Random
import kotlin.math.ln
import org.hyssoprack.common.PoolName
import org.hyssoprack.policy.Pool
import org.hyssoprack.policy.QueueRule
import org.hyssoprack.policy.RoutingRule

/**
 * Runs load on a [SchedulerSimulation] and prints the goodput of each tier. Run its main function
 * by hand to compare routing and queueing rules.
 */
class LoadSimulation(
    private val name: String,
    private val classes: List<LoadClass>,
    private val pool: Pool,
    private val speed: (Int, Int, Long) -> Double = { _, running, _ -> batchSpeed(running) },
    private val canSuspend: Boolean = true
) {
    fun run(seed: Long = 1, durationMs: Long = 60_000) {
        val settings = SimulationSettings(
            hosts = HOSTS,
            servers = SERVERS,
            slots = SLOTS,
            pool = pool,
            maxDelayMs = 2,
            speed = speed,
            canSuspend = canSuspend
        )
        val simulation = SchedulerSimulation(seed, settings)
        val random = Random(seed)
        val startMs = simulation.nowMs
        val next = classes.map { startMs + gapMs(random, it) }.toMutableList()
        while (simulation.nowMs < startMs + durationMs) {
            simulation.run(SchedulerSimulation.STEP_MS)
            classes.forEachIndexed { index, load ->
                while (next[index] <= simulation.nowMs) {
                    submit(simulation, random, load)
                    next[index] += gapMs(random, load)
                }
            }
        }
        val sent = simulation.sent
        simulation.run(DRAIN_MS)
        report(simulation, durationMs, sent)
    }

    private fun gapMs(random: Random, load: LoadClass): Double =
        -ln(1 - random.nextDouble()) * MS_PER_S / load.perSecond

    private fun submit(simulation: SchedulerSimulation, random: Random, load: LoadClass) {
        simulation.submit(
            host = random.nextInt(HOSTS),
            tier = load.tier,
            runsMs = load.runsMs,
            deadlineMs = load.deadlineMs,
            account = "a${random.nextInt(ACCOUNTS)}",
            promptTokens = load.promptTokens,
            completionTokens = load.completionTokens,
            prefillMs = load.prefillMs
        )
    }

    private fun report(simulation: SchedulerSimulation, durationMs: Long, sent: Int) {
        println(
            "$name: ${sent * 1_000L / durationMs / HOSTS} messages/s per host, " +
                "${simulation.violations.size} violations"
        )
        var servedMs = 0L
        for (tier in classes.map { it.tier }.distinct().sorted()) {
            val all = simulation.requests.values.filter { it.request.tier.value == tier }
            val good = all.filter {
                "done" in it.outcomes && it.endedAtMs <= it.request.deadlineAtMs
            }
            servedMs += good.sumOf { it.runsMs }
            val firsts = good.mapNotNull {
                it.firstTokenAtMs?.minus(it.request.arrivedAtMs)
            }.sorted()
            val other = all.flatMap { it.outcomes }.groupingBy { it }.eachCount()
            val wasted = (all - good.toSet()).filter { it.dispatches > 0 }.sumOf { it.prefillMs }
            val prefill = all.filter { it.dispatches > 0 }.sumOf { it.prefillMs }
            println(
                "  tier $tier: good ${good.size}/${all.size} first p50 ${firsts.at(0.5)} p99 " +
                    "${firsts.at(0.99)} ms wasted prefill $wasted/$prefill " +
                    "preempted ${all.sumOf { it.preemptions }} $other"
            )
        }
        val capacityMs = durationMs * SERVERS * SLOTS
        println("  served ${servedMs * 100 / capacityMs}% of the slots' time")
        simulation.violations.take(2).forEach { println("  $it") }
    }

    private fun List<Long>.at(share: Double): Long? = getOrNull((size * share).toInt())

    companion object {
        const val HOSTS = 9
        const val SERVERS = 12
        const val SLOTS = 8
        const val ACCOUNTS = 5
        const val DRAIN_MS = 25_000L
        const val MS_PER_S = 1_000

        fun batchSpeed(running: Int): Double = if (running <=
            SLOTS
        ) {
            1.0
        } else {
            SLOTS.toDouble() / running
        }
    }
}

private val LONG_ANSWERS = LoadClass(
    tier = 0,
    perSecond = 4.0,
    runsMs = 10_000,
    prefillMs = 400,
    promptTokens = 2_000,
    completionTokens = 500,
    deadlineMs = 30_000
)
private val SHORT_ANSWERS = LoadClass(
    tier = 1,
    perSecond = 60.0,
    runsMs = 400,
    prefillMs = 60,
    promptTokens = 100,
    completionTokens = 17,
    deadlineMs = 3_000
)
private val CLASSIFICATIONS = LoadClass(
    tier = 2,
    perSecond = 60.0,
    runsMs = 300,
    prefillMs = 80,
    promptTokens = 150,
    completionTokens = 11,
    deadlineMs = 5_000
)

fun main() {
    val pool = Pool(PoolName("p"))
    val mixed = listOf(LONG_ANSWERS, SHORT_ANSWERS, CLASSIFICATIONS)
    val doubleLoad = listOf(
        LONG_ANSWERS.copy(perSecond = 8.0),
        SHORT_ANSWERS.copy(perSecond = 120.0),
        CLASSIFICATIONS.copy(perSecond = 200.0)
    )
    LoadSimulation("long answers alone", listOf(LONG_ANSWERS.copy(perSecond = 8.0)), pool).run()
    LoadSimulation("steady", mixed, pool).run()
    LoadSimulation("double", doubleLoad, pool).run()
    LoadSimulation("double, cancelling", doubleLoad, pool, canSuspend = false).run()
    LoadSimulation("double, by arrival", doubleLoad, pool.copy(queueing = QueueRule.ARRIVAL)).run()
    LoadSimulation("steady, round robin", mixed, pool.copy(routing = RoutingRule.ROUND_ROBIN)).run()
    val straggler = { server: Int, running: Int, nowMs: Long ->
        val slow = if (server == 0 && nowMs in 30_000..60_000) 0.2 else 1.0
        LoadSimulation.batchSpeed(running) * slow
    }
    LoadSimulation("steady, straggler", mixed, pool, straggler).run()
    LoadSimulation(
        "steady, straggler, round robin",
        mixed,
        pool.copy(routing = RoutingRule.ROUND_ROBIN),
        straggler
    ).run()
}
