package org.hyssoprack.serving.sharing

import org.hyssoprack.common.ClientAccount

/**
 * Orders the waiting requests of one service by fair shares of the slot time, within each rank. It
 * addresses loads in which one client account sends a multiple of its usual requests: the account
 * does not delay those that use less than an equal share, and gets what they leave. Each failure
 * domain with waiting requests keeps a minimum. The order within one account is that of age.
 */
class FairShares {
    private val ranks = HashMap<Int, RankShares>()

    private class RankShares {
        val accounts = AccountShares()
        val domains = DomainMinimum()
    }

    private class Tagged<C>(val claim: C, val startMs: Double)

    /** Records that [claim] begins to wait. */
    fun recordWaiting(claim: Claim) = sharesOf(claim.rank).accounts.recordWaiting(claim.account)

    /** Records that [claim] does not wait any more, after its grant if it was granted a slot. */
    fun recordLeft(claim: Claim) = sharesOf(claim.rank).accounts.recordLeft(claim.account)

    /** Records that [claim] was granted a slot. */
    fun recordGrant(claim: Claim, nowMs: Long) {
        val shares = sharesOf(claim.rank)
        shares.accounts.recordGrant(claim.account, claim.slotMs)
        shares.domains.recordGrant(claim.domain, claim.slotMs, nowMs)
    }

    /**
     * Returns [claims] in the order in which they should be served.
     *
     * @param claims waiting requests of one rank; those of one account keep their order.
     */
    fun <C : Claim> ordered(claims: List<C>, nowMs: Long): List<C> {
        if (!isShared(claims)) return claims
        val byTag = tagged(claims).sortedBy { it.startMs }.map { it.claim }
        val domains = underservedDomains(claims, nowMs)
        if (domains.isEmpty()) return byTag
        val preferred =
            domains.mapNotNullTo(LinkedHashSet()) { x -> byTag.firstOrNull { it.domain == x } }
        return preferred.toList() + byTag.filter { it !in preferred }
    }

    /**
     * Returns the expected slot time of those of [claims] that would be served before [claim], in
     * milliseconds.
     *
     * @param claims waiting requests of the rank of [claim], in the order for [ordered].
     * @param isBefore whether a waiting request of the account goes before [claim].
     */
    fun <C : Claim> aheadMs(
        claims: List<C>,
        claim: Claim,
        nowMs: Long,
        isBefore: (C) -> Boolean = { true }
    ): Double {
        val ownMs = claims.filter { it.account == claim.account && isBefore(it) }
            .sumOf { it.slotMs }
        if (claims.all { it.account == claim.account }) return ownMs
        val startMs = sharesOf(claim.rank).accounts.startMs(claim.account) + ownMs
        val isUnderserved = claim.domain.let {
            it != null && it in underservedDomains(claims + listOf(claim), nowMs)
        }
        val othersMs = tagged(claims).sumOf {
            val isAhead = it.startMs <= startMs && it.claim.account != claim.account
            if (isAhead && (!isUnderserved || it.claim.domain == claim.domain)) {
                it.claim.slotMs
            } else {
                0.0
            }
        }
        return ownMs + othersMs
    }

    /** Returns by rank how much slot time the accounts are ahead of others, for the next owner. */
    fun leads(): Map<Int, Map<ClientAccount, Double>> =
        ranks.mapValues { it.value.accounts.leads() }.filterValues { it.isNotEmpty() }

    /** Takes the [leads] of a previous owner. */
    fun inherit(leads: Map<Int, Map<ClientAccount, Double>>) =
        leads.forEach { (rank, accounts) -> sharesOf(rank).accounts.inherit(accounts) }

    private fun isShared(claims: List<Claim>): Boolean =
        claims.any { it.account != claims.first().account }

    private fun <C : Claim> tagged(claims: List<C>): List<Tagged<C>> {
        val nextMs = HashMap<ClientAccount?, Double>()
        return claims.map {
            val startMs =
                nextMs[it.account] ?: sharesOf(it.rank).accounts.startMs(it.account)
            nextMs[it.account] = startMs + it.slotMs
            Tagged(it, startMs)
        }
    }

    private fun underservedDomains(claims: List<Claim>, nowMs: Long) =
        sharesOf(claims.first().rank).domains
            .underserved(claims.mapNotNullTo(HashSet()) { it.domain }, nowMs)

    private fun sharesOf(rank: Int): RankShares = ranks.getOrPut(rank) { RankShares() }
}
