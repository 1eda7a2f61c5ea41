package org.hyssoprack.serving.queue

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.serving.sharing.FairShares
import org.hyssoprack.serving.sharing.StartForecast

/**
 * Priority queue of the requests of one service that wait for a slot. Requests whose response has
 * been started come first, since their callers lose what they have received. Then come requests that
 * can still be on time, then the more urgent rank, then the account that has had less of the slot
 * time, then callers that return when told to, then the older request. In an overload not all can
 * be on time, and a late response is worth only a part of one on time, whatever its rank. One
 * request of each underserved rank goes ahead, so that no rank starves.
 */
class DispatchQueue {
    private val waiting = LinkedHashMap<QueuedRequest, WaitingRequest>()
    private val reservations = RankReservations()
    private val shares = FairShares()

    val size: Int get() = waiting.size

    /** Counts [request] as a request for a slot, whether or not it is going to wait. */
    fun recordRequest(request: QueuedRequest, nowMs: Long) =
        reservations.recordRequest(request.rank, nowMs)

    /**
     * Records that [request] was granted a slot, which it is expected to hold for [slotMs].
     *
     * @param isShared whether the capacity is shared between accounts.
     */
    fun recordGrant(request: QueuedRequest, slotMs: Double, nowMs: Long, isShared: Boolean = true) {
        reservations.recordGrant(request.rank, slotMs, nowMs)
        shares.recordGrant(WaitingRequest(request, slotMs, isShared = isShared), nowMs)
    }

    /**
     * Adds [request], which is expected to hold a slot for [slotMs].
     *
     * @param isReturning whether its caller was refused before and told to return now.
     * @param isShared whether the capacity is shared between accounts; otherwise requests of equal
     *   urgency are ordered by age.
     */
    fun add(
        request: QueuedRequest,
        slotMs: Double = DEFAULT_SLOT_MS,
        isReturning: Boolean = false,
        isShared: Boolean = true
    ) {
        val added = WaitingRequest(request, slotMs, isReturning, isShared)
        waiting[request] = added
        shares.recordWaiting(added)
    }

    fun remove(request: QueuedRequest): Boolean {
        val removed = waiting.remove(request) ?: return false
        shares.recordLeft(removed)
        return true
    }

    /**
     * Returns the number of waiting requests that would be served before a new one of [rank] that
     * can be on time.
     */
    fun ahead(rank: Int, nowMs: Long): Int {
        val isUnderserved = rank in reservations.underservedRanks(nowMs)
        return waiting.keys.count {
            it.isStarted ||
                it.canBeOnTime(nowMs) &&
                (it.rank == rank || it.rank < rank && !isUnderserved)
        }
    }

    /** Predicts when [request], which waits, is granted one of [slots]. */
    fun forecast(request: QueuedRequest, slots: Double, nowMs: Long): StartForecast {
        val claim = waiting.getValue(request)
        val others = waiting.values.filter { it !== claim }
        return StartForecast(
            aheadMs = aheadMs(claim, others, nowMs),
            queuedMs = others.sumOf { it.slotMs },
            slots = slots
        )
    }

    private fun aheadMs(claim: WaitingRequest, others: List<WaitingRequest>, nowMs: Long): Double {
        val isUnderserved = claim.rank in reservations.underservedRanks(nowMs)
        val equals = ArrayList<WaitingRequest>()
        var aheadMs = 0.0
        for (other in others) {
            if (!other.request.isStarted && !other.request.canBeOnTime(nowMs)) continue
            when {
                other.request.isStarted -> aheadMs += other.slotMs
                other.rank == claim.rank -> equals += other
                other.rank < claim.rank && !isUnderserved -> aheadMs += other.slotMs
            }
        }
        if (equals.isEmpty()) return aheadMs
        return aheadMs +
            shares.aheadMs(equals, claim, nowMs) { it.isReturning || !claim.isReturning }
    }

    /** Returns by rank how much slot time the accounts are ahead of others, for the next owner. */
    fun leads(): Map<Int, Map<ClientAccount, Double>> = shares.leads()

    /** Takes the [leads] of a previous owner. */
    fun inherit(leads: Map<Int, Map<ClientAccount, Double>>) = shares.inherit(leads)

    /** Returns the waiting requests in the order in which they should be served. */
    fun ordered(nowMs: Long): List<QueuedRequest> {
        val byRank = shared(nowMs)
        val preferred = reservations.underservedRanks(nowMs).mapNotNull { rank ->
            byRank.firstOrNull {
                it.rank == rank && !it.isStarted && it.canBeOnTime(nowMs)
            }
        }
        if (preferred.isEmpty()) return byRank
        val (started, others) = byRank.partition { it.isStarted }
        return started + preferred + (others - preferred.toSet())
    }

    /**
     * Returns the waiting requests by urgency; those that are equally urgent are ordered by the
     * shares of their accounts.
     */
    private fun shared(nowMs: Long): List<QueuedRequest> {
        val byAge = waiting.values.sortedWith(
            compareBy(
                { !it.request.isStarted },
                { !it.request.canBeOnTime(nowMs) },
                { it.rank },
                { !it.isReturning },
                { it.request.arrivedMs }
            )
        )
        val result = ArrayList<QueuedRequest>(byAge.size)
        var from = 0
        while (from < byAge.size) {
            val first = byAge[from].request
            var to = from + 1
            while (to < byAge.size && isAsUrgent(first, byAge[to].request, nowMs)) to++
            val equals = byAge.subList(from, to)
            val order = if (first.isStarted) equals else shares.ordered(equals, nowMs)
            order.mapTo(result) { it.request }
            from = to
        }
        return result
    }

    private fun isAsUrgent(a: QueuedRequest, b: QueuedRequest, nowMs: Long): Boolean =
        a.isStarted == b.isStarted &&
            a.rank == b.rank &&
            a.canBeOnTime(nowMs) == b.canBeOnTime(nowMs)

    /**
     * Removes and returns the requests whose maximum waiting time has passed, in the order in which
     * they would have been served.
     */
    fun takeExpired(nowMs: Long): List<QueuedRequest> {
        if (waiting.keys.none { it.giveUpMs <= nowMs }) return emptyList()
        val expired = ordered(nowMs).filter { it.giveUpMs <= nowMs }
        expired.forEach { remove(it) }
        return expired
    }

    private companion object {
        // Any equal value for all requests makes the shares count requests.
        const val DEFAULT_SLOT_MS = 1.0
    }
}
