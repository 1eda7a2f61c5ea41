package org.hyssoprack.serving.sharing

import org.hyssoprack.common.ClientAccount

/** The returns that are assigned to one slice of a [ReturnCalendar]. */
internal class ReturnSlice {
    private val booked = HashMap<Int, HashMap<ClientAccount?, Int>>()
    private val tickets = HashMap<ReturnKey, Int>()

    /** Callers that have not returned yet. */
    val outstanding: Map<ReturnKey, Int> get() = tickets

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

    fun book(key: ReturnKey, count: Int = 1) {
        booked.getOrPut(key.rank) { HashMap() }.merge(key.account, count, Int::plus)
        tickets.merge(key, count, Int::plus)
    }

    /** Takes back one of the tickets of [key]. Returns whether there was one. */
    fun redeem(key: ReturnKey): Boolean {
        val left = tickets[key] ?: return false
        if (left > 1) tickets[key] = left - 1 else tickets.remove(key)
        return true
    }
}
