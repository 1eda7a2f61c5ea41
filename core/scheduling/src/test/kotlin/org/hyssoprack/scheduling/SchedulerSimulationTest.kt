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
        val model = SchedulerSimulation(1, SimulationSettings(pool = pool))
        val id = model.submit(host = 0, tier = 0)!!
        model.run(1_000)
        assertThat(model.requests.getValue(id).outcomes).containsExactly("done")
    }

    @Example
    fun `as many requests run at once as there are slots`() {
        val model = SchedulerSimulation(2, SimulationSettings(pool = pool))
        repeat(10) { model.submit(host = it % 3, tier = 0, runsMs = 1_000) }
        model.run(500)
        assertThat(model.running().size).isEqualTo(6)
    }

    @Example
    fun `waiting requests end at their deadline`() {
        val model = SchedulerSimulation(3, SimulationSettings(pool = pool))
        repeat(10) { model.submit(host = it % 3, tier = 0, runsMs = 5_000) }
        model.run(6_000)
        val outcomes = model.requests.values.flatMap { it.outcomes }.groupingBy { it }.eachCount()
        assertThat(outcomes).isEqualTo(mapOf("done" to 6, "deadline-passed-waiting" to 4))
        assertThat(model.faults).isEmpty()
    }

    @Example
    fun `a higher tier makes a lower one suspend, which is resumed later`() {
        val model = SchedulerSimulation(4, SimulationSettings(pool = pool))
        val low = (0 until 6).map {
            model.submit(it % 3, tier = 2, runsMs = 1_000, deadlineMs = 9_000)!!
        }
        model.run(100)
        val high = (0 until 4).map { model.submit(it % 3, tier = 0, runsMs = 500)!! }
        model.run(1_000)
        high.forEach { assertThat(model.requests.getValue(it).outcomes).containsExactly("done") }
        assertThat(low.sumOf { model.requests.getValue(it).preemptions }).isGreaterThan(0)
        model.run(4_000)
        low.forEach { assertThat(model.requests.getValue(it).outcomes).containsExactly("done") }
    }
}
