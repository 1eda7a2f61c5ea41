package org.hyssoprack.scheduling

/** One action of a random history for a [SchedulerSimulation]; request indexes wrap around. */
sealed interface SimulationAction {
    fun apply(simulation: SchedulerSimulation)

    data class Submit(
        val host: Int,
        val tier: Int,
        val runsMs: Int,
        val deadlineMs: Int,
        val account: Int,
        val kind: Int
    ) : SimulationAction {
        override fun apply(simulation: SchedulerSimulation) {
            simulation.submit(
                host = host,
                tier = tier,
                runsMs = runsMs.toLong(),
                deadlineMs = deadlineMs.toLong(),
                account = "a$account",
                once = kind == 1,
                long = kind == 2
            )
        }
    }

    data class Burst(val host: Int, val tier: Int, val count: Int) : SimulationAction {
        override fun apply(simulation: SchedulerSimulation) =
            repeat(count) { simulation.submit(host, tier) }
    }

    data class Run(val durationMs: Int) : SimulationAction {
        override fun apply(simulation: SchedulerSimulation) = simulation.run(durationMs.toLong())
    }

    data class GiveUp(val index: Int) : SimulationAction {
        override fun apply(simulation: SchedulerSimulation) {
            simulation.requestAt(index)?.let { simulation.giveUp(it) }
        }
    }

    data class Resubmit(val index: Int) : SimulationAction {
        override fun apply(simulation: SchedulerSimulation) {
            simulation.requestAt(index)?.let { simulation.resubmit(it) }
        }
    }

    data class Kill(val host: Int) : SimulationAction {
        override fun apply(simulation: SchedulerSimulation) = simulation.kill(host)
    }

    data class Restart(val host: Int) : SimulationAction {
        override fun apply(simulation: SchedulerSimulation) = simulation.restart(host)
    }

    data class ChangeOwner(val server: Int, val host: Int) : SimulationAction {
        override fun apply(simulation: SchedulerSimulation) = simulation.changeOwner(server, host)
    }

    data class SetLeaving(val server: Int, val leaving: Boolean) : SimulationAction {
        override fun apply(simulation: SchedulerSimulation) = simulation.setLeaving(server, leaving)
    }

    data class SetPartitioned(val host: Int, val isPartitioned: Boolean) : SimulationAction {
        override fun apply(simulation: SchedulerSimulation) =
            simulation.setPartitioned(host, isPartitioned)
    }
}
