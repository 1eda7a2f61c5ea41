package org.hyssoprack.scheduling

/** One step of a random history of a [Model]; indexes wrap around. */
sealed interface ModelAction {
    fun apply(model: Model)

    data class Submit(
        val host: Int,
        val tier: Int,
        val runsMs: Int,
        val deadlineMs: Int,
        val account: Int,
        val kind: Int
    ) : ModelAction {
        override fun apply(model: Model) {
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

    data class Burst(val host: Int, val tier: Int, val count: Int) : ModelAction {
        override fun apply(model: Model) = repeat(count) { model.submit(host, tier) }
    }

    data class Run(val durationMs: Int) : ModelAction {
        override fun apply(model: Model) = model.run(durationMs.toLong())
    }

    data class GiveUp(val index: Int) : ModelAction {
        override fun apply(model: Model) {
            model.requestAt(index)?.let { model.giveUp(it) }
        }
    }

    data class Resubmit(val index: Int) : ModelAction {
        override fun apply(model: Model) {
            model.requestAt(index)?.let { model.resubmit(it) }
        }
    }

    data class Kill(val host: Int) : ModelAction {
        override fun apply(model: Model) = model.kill(host)
    }

    data class Restart(val host: Int) : ModelAction {
        override fun apply(model: Model) = model.restart(host)
    }

    data class ChangeOwner(val server: Int, val host: Int) : ModelAction {
        override fun apply(model: Model) = model.changeOwner(server, host)
    }

    data class SetLeaving(val server: Int, val leaving: Boolean) : ModelAction {
        override fun apply(model: Model) = model.setLeaving(server, leaving)
    }

    data class Cut(val host: Int, val cut: Boolean) : ModelAction {
        override fun apply(model: Model) = model.cut(host, cut)
    }
}
