package org.hyssoprack.scheduling

/** One step of a random history of a [SchedulerSimulation]; indexes wrap around. */
sealed interface SimulationAction {
    fun apply(model: SchedulerSimulation)

    data class Submit(
        val host: Int,
        val tier: Int,
        val runsMs: Int,
        val deadlineMs: Int,
        val account: Int,
        val kind: Int
    ) : SimulationAction {
        override fun apply(model: SchedulerSimulation) {
            model.submit(
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
        override fun apply(model: SchedulerSimulation) = repeat(count) { model.submit(host, tier) }
    }

    data class Run(val durationMs: Int) : SimulationAction {
        override fun apply(model: SchedulerSimulation) = model.run(durationMs.toLong())
    }

    data class GiveUp(val index: Int) : SimulationAction {
        override fun apply(model: SchedulerSimulation) {
            model.requestAt(index)?.let { model.giveUp(it) }
        }
    }

    data class Resubmit(val index: Int) : SimulationAction {
        override fun apply(model: SchedulerSimulation) {
            model.requestAt(index)?.let { model.resubmit(it) }
        }
    }

    data class Kill(val host: Int) : SimulationAction {
        override fun apply(model: SchedulerSimulation) = model.kill(host)
    }

    data class Restart(val host: Int) : SimulationAction {
        override fun apply(model: SchedulerSimulation) = model.restart(host)
    }

    data class ChangeOwner(val server: Int, val host: Int) : SimulationAction {
        override fun apply(model: SchedulerSimulation) = model.changeOwner(server, host)
    }

    data class SetLeaving(val server: Int, val leaving: Boolean) : SimulationAction {
        override fun apply(model: SchedulerSimulation) = model.setLeaving(server, leaving)
    }

    data class Cut(val host: Int, val cut: Boolean) : SimulationAction {
        override fun apply(model: SchedulerSimulation) = model.cut(host, cut)
    }
}
