package org.hyssoprack.scheduling

/** Start and finish tags of start-time fair queueing between the flows of one tier. */
internal class FairQueueTags {
    private val finishTags = HashMap<FlowKey, Double>()
    private var virtualTime = 0.0

    /** Returns the virtual start time of the next request of [flow]; the lowest is served first. */
    fun startTag(flow: FlowKey): Double = maxOf(virtualTime, finishTags[flow] ?: 0.0)

    /** Charges [weightedCost] to [flow] for a request that starts now. */
    fun charge(flow: FlowKey, weightedCost: Double) {
        val start = startTag(flow)
        virtualTime = start
        finishTags[flow] = start + weightedCost
        if (finishTags.size > FLOW_LIMIT) finishTags.values.removeIf { it <= virtualTime }
    }

    private companion object {
        const val FLOW_LIMIT = 1_000
    }
}
