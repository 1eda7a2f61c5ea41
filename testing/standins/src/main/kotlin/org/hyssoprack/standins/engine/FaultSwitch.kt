package org.hyssoprack.standins.engine

/** Hands out the faults that are switched on, each as often as was asked for. */
internal class FaultSwitch(private val core: EngineCore) {
    /** Faults in force now. */
    val faults: EngineFaults get() = core.faults

    /** Replaces all faults. */
    @Synchronized
    fun set(faults: EngineFaults) {
        core.faults = faults
    }

    /** True if the next request shall be refused. */
    fun takeRefuse(): Boolean = take(faults.refuseNext) { copy(refuseNext = refuseNext - 1) }

    /** True if the next request shall fail after it was taken in. */
    fun takeFail(): Boolean = take(faults.failNext) { copy(failNext = failNext - 1) }

    /** True if the next request shall be run twice. */
    fun takeDoubleRun(): Boolean =
        take(faults.doubleRunNext) { copy(doubleRunNext = doubleRunNext - 1) }

    /** How the next stream shall be spoilt. */
    fun takeTamper(): StreamTamper = when {
        take(faults.freezeNext) { copy(freezeNext = freezeNext - 1) } -> StreamTamper.FREEZE
        take(faults.cutNext) { copy(cutNext = cutNext - 1) } -> StreamTamper.CUT
        take(faults.swapIdNext) { copy(swapIdNext = swapIdNext - 1) } -> StreamTamper.SWAP_ID
        take(faults.mixNext) { copy(mixNext = mixNext - 1) } -> StreamTamper.MIX
        take(faults.skipNext) { copy(skipNext = skipNext - 1) } -> StreamTamper.SKIP
        take(faults.shortNext) { copy(shortNext = shortNext - 1) } -> StreamTamper.SHORT
        else -> StreamTamper.NONE
    }

    @Synchronized
    private fun take(left: Int, next: EngineFaults.() -> EngineFaults): Boolean {
        if (left <= 0) return false
        core.faults = core.faults.next()
        return true
    }
}
