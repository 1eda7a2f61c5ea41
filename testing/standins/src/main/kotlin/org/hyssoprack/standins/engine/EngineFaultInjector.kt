package org.hyssoprack.standins.engine

/** Holds the configured faults and applies each to the requested number of requests. */
internal class EngineFaultInjector(private val core: EngineCore) {
    /** The current faults. */
    val faults: EngineFaults get() = core.faults

    /** Replaces all faults. */
    @Synchronized
    fun set(faults: EngineFaults) {
        core.faults = faults
    }

    /** Returns true, and counts the fault down, if this request is to be refused. */
    fun takeRefuse(): Boolean = take(faults.refuseNext) { copy(refuseNext = refuseNext - 1) }

    /** Returns true, and counts the fault down, if this request is to fail after admission. */
    fun takeFail(): Boolean = take(faults.failNext) { copy(failNext = failNext - 1) }

    /** Returns true, and counts the fault down, if this request is to run twice. */
    fun takeDoubleRun(): Boolean =
        take(faults.doubleRunNext) { copy(doubleRunNext = doubleRunNext - 1) }

    /** Returns the fault of this stream and counts it down. */
    fun takeStreamFault(): StreamFault = when {
        take(faults.freezeNext) { copy(freezeNext = freezeNext - 1) } -> StreamFault.FREEZE
        take(faults.cutNext) { copy(cutNext = cutNext - 1) } -> StreamFault.CUT
        take(faults.swapIdNext) { copy(swapIdNext = swapIdNext - 1) } -> StreamFault.SWAP_ID
        take(faults.mixNext) { copy(mixNext = mixNext - 1) } -> StreamFault.MIX
        take(faults.skipNext) { copy(skipNext = skipNext - 1) } -> StreamFault.SKIP
        take(faults.shortNext) { copy(shortNext = shortNext - 1) } -> StreamFault.SHORT
        else -> StreamFault.NONE
    }

    @Synchronized
    private fun take(remaining: Int, next: EngineFaults.() -> EngineFaults): Boolean {
        if (remaining <= 0) return false
        core.faults = core.faults.next()
        return true
    }
}
