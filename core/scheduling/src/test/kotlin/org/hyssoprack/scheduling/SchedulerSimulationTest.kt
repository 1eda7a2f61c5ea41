package org.hyssoprack.scheduling

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEmpty
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThan
import net.jqwik.api.Example
import org.hyssoprack.common.PoolName
import org.hyssoprack.policy.Pool

class SchedulerSimulationTest {
    private val pool = Pool(PoolName("p"))

    @Example
    fun `a request on an idle fleet is dispatched and done`() {
        val simulation = SchedulerSimulation(1, SimulationSettings(pool = pool))
        val id = simulation.submit(host = 0, tier = 0)!!
        simulation.run(1_000)
        assertThat(simulation.requests.getValue(id).outcomes).containsExactly("done")
    }

    @Example
    fun `as many requests run at once as there are slots`() {
        val simulation = SchedulerSimulation(2, SimulationSettings(pool = pool))
        repeat(10) { simulation.submit(host = it % 3, tier = 0, runsMs = 1_000) }
        simulation.run(500)
        assertThat(simulation.running().size).isEqualTo(6)
    }

    @Example
    fun `waiting requests end at their deadline`() {
        val simulation = SchedulerSimulation(3, SimulationSettings(pool = pool))
        repeat(10) { simulation.submit(host = it % 3, tier = 0, runsMs = 5_000) }
        simulation.run(6_000)
        val outcomes =
            simulation.requests.values.flatMap { it.outcomes }.groupingBy { it }.eachCount()
        assertThat(outcomes).isEqualTo(mapOf("done" to 6, "deadline-passed-waiting" to 4))
        assertThat(simulation.violations).isEmpty()
    }

    @Example
    fun `a higher tier preempts a lower one, which is resumed later`() {
        val simulation = SchedulerSimulation(4, SimulationSettings(pool = pool))
        val low = (0 until 6).map {
            simulation.submit(it % 3, tier = 2, runsMs = 1_000, deadlineMs = 9_000)!!
        }
        simulation.run(100)
        val high = (0 until 4).map { simulation.submit(it % 3, tier = 0, runsMs = 500)!! }
        simulation.run(1_000)
        high.forEach {
            assertThat(simulation.requests.getValue(it).outcomes).containsExactly("done")
        }
        assertThat(low.sumOf { simulation.requests.getValue(it).preemptions }).isGreaterThan(0)
        simulation.run(4_000)
        low.forEach {
            assertThat(simulation.requests.getValue(it).outcomes).containsExactly("done")
        }
    }
}
