package org.hyssoprack.serving.sharing

import org.hyssoprack.common.ClientAccount

/** The returns that are assigned to one slice of a [ReturnCalendar]. */
internal class ReturnSlice {
    private val booked = HashMap<Int, HashMap<ClientAccount?, Int>>()
    private val tickets = HashMap<ReturnKey, ArrayDeque<Long>>()

    /** Assigned times of the callers that have not returned yet. */
    val outstanding: Map<ReturnKey, List<Long>> get() = tickets

    /**
     * Returns the number of returns that count for a further one of [key]: those of more urgent
     * ranks, and those of the same rank as far as the accounts have as many as that of [key] would
     * get. A large account thus leaves room for the others.
     */
    fun countedFor(key: ReturnKey): Int {
        val own = booked[key.rank]?.get(key.account) ?: 0
        return booked.entries.sumOf { (rank, accounts) ->
            when {
                rank < key.rank -> accounts.values.sum()
                rank > key.rank -> 0
                else -> accounts.entries.sumOf { (account, count) ->
                    if (account == key.account) own else minOf(count, own + 1)
                }
            }
        }
    }

    fun book(key: ReturnKey, atMs: Long) {
        booked.getOrPut(key.rank) { HashMap() }.merge(key.account, 1, Int::plus)
        tickets.getOrPut(key) { ArrayDeque() } += atMs
    }

    /** Takes back a ticket of [key] for a time in [range]. Returns whether there was one. */
    fun redeem(key: ReturnKey, range: LongRange): Boolean {
        val times = tickets[key] ?: return false
        val index = times.indexOfFirst { it in range }
        if (index < 0) return false
        times.removeAt(index)
        if (times.isEmpty()) tickets.remove(key)
        return true
    }
}
