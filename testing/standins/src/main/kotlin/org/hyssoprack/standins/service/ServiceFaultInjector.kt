package org.hyssoprack.standins.service

/** Holds the configured faults and applies each to the requested number of calls. */
internal class ServiceFaultInjector {
    /** The current faults. */
    @Volatile
    var faults = ServiceFaults()
        private set

    /** Replaces all faults. */
    @Synchronized
    fun set(faults: ServiceFaults) {
        this.faults = faults
    }

    /** Returns true, and counts the fault down, if [fault] applies to this call. */
    @Synchronized
    fun take(fault: ServiceFault): Boolean {
        if (remaining(fault) <= 0) return false
        faults = when (fault) {
            ServiceFault.LOSE_REPLY -> faults.copy(loseReplyNext = faults.loseReplyNext - 1)
            ServiceFault.SWAP_ID -> faults.copy(swapIdNext = faults.swapIdNext - 1)
            ServiceFault.CUT -> faults.copy(cutNext = faults.cutNext - 1)
            ServiceFault.REFUSE -> faults.copy(refuseNext = faults.refuseNext - 1)
        }
        return true
    }

    private fun remaining(fault: ServiceFault): Int = when (fault) {
        ServiceFault.LOSE_REPLY -> faults.loseReplyNext
        ServiceFault.SWAP_ID -> faults.swapIdNext
        ServiceFault.CUT -> faults.cutNext
        ServiceFault.REFUSE -> faults.refuseNext
    }
}
