package org.hyssoprack.serving.sharing

import org.hyssoprack.common.ClientAccount

/**
 * Virtual times of the accounts within one rank, in milliseconds of slot time, for start-time fair
 * queueing. A grant advances its account's time by the expected slot time. An account without
 * waiting requests begins at the time of the last grant, so that it neither saves up the time that
 * it did not use nor owes what it used while there was no competition.
 */
internal class AccountShares {
    private val shares = HashMap<ClientAccount?, Share>()
    private var virtualMs = 0.0

    private class Share(var nextMs: Double, var waiting: Int = 0)

    /** Returns the start tag of the account's next request. */
    fun startMs(account: ClientAccount?): Double = shares[account]?.let { startMs(it) } ?: virtualMs

    private fun startMs(share: Share): Double =
        maxOf(share.nextMs, if (share.waiting > 0) virtualMs - MAX_CREDIT_MS else virtualMs)

    fun recordWaiting(account: ClientAccount?) {
        val share = shares.getOrPut(account) { Share(virtualMs) }
        share.nextMs = startMs(share)
        share.waiting++
    }

    fun recordLeft(account: ClientAccount?) {
        val share = shares[account] ?: return
        share.waiting--
        forgetIfEven(account, share)
    }

    fun recordGrant(account: ClientAccount?, slotMs: Double) {
        val share = shares.getOrPut(account) { Share(virtualMs) }
        val startMs = startMs(share)
        share.nextMs = startMs + slotMs
        virtualMs = maxOf(virtualMs, startMs)
        forgetIfEven(account, share)
    }

    /** Returns how far each account is ahead of the virtual time; 0 for those left out. */
    fun leads(): Map<ClientAccount, Double> = shares.entries.mapNotNull { (account, share) ->
        val leadMs = share.nextMs - virtualMs
        if (account == null || leadMs <= 0) null else account to leadMs
    }.toMap()

    /** Moves accounts that have no waiting requests ahead by [leads], as at a previous owner. */
    fun inherit(leads: Map<ClientAccount, Double>) = leads.forEach { (account, leadMs) ->
        val share = shares.getOrPut(account) { Share(virtualMs) }
        val inheritedMs = virtualMs + leadMs.coerceIn(0.0, MAX_CREDIT_MS)
        share.nextMs = maxOf(share.nextMs, inheritedMs)
    }

    // A share without a lead is as good as none.
    private fun forgetIfEven(account: ClientAccount?, share: Share) {
        if (share.waiting <= 0 && share.nextMs <= virtualMs) shares.remove(account)
    }

    private companion object {
        // An account falls behind the virtual time while no server suits its waiting requests, or
        // none of them can be on time. Without a bound it could take every slot for as long
        // afterwards. The value is the slot time of some ten streams.
        const val MAX_CREDIT_MS = 10_000.0
    }
}
