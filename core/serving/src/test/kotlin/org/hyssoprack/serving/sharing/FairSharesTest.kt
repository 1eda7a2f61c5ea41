package org.hyssoprack.serving.sharing

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain

class FairSharesTest {
    private val shares = FairShares()

    private data class TestClaim(
        val name: String,
        override val account: ClientAccount?,
        override val domain: FailureDomain? = null,
        override val slotMs: Double = 100.0,
        override val rank: Int = 0
    ) : Claim

    private fun claims(account: String, count: Int, domain: String = "z", slotMs: Double = 100.0) =
        List(count) {
            TestClaim("$account$it", ClientAccount(account), FailureDomain(domain), slotMs)
        }

    @Example
    fun `accounts share the slot time evenly, whatever the number and size of their requests`() {
        val large = claims("large", count = 400, slotMs = 50.0)
        val small = claims("small", count = 50, slotMs = 200.0)
        val waiting = (large + small).toMutableList()
        val grantedMs = grant(waiting, grants = 100).groupBy { it.account }
            .mapValues { (_, of) -> of.sumOf { it.slotMs } }
        assertThat(grantedMs.getValue(small[0].account) - grantedMs.getValue(large[0].account))
            .isBetween(-200.0, 200.0)
    }

    @Example
    fun `an account that had no competition owes nothing to one that comes later`() {
        val alone = claims("alone", count = 40).toMutableList()
        grant(alone, grants = 20)
        val later = claims("later", count = 20)
        later.forEach { shares.recordWaiting(it) }
        val order = shares.ordered(alone + later, NOW_MS).take(20)
        assertThat(order.count { it.account == later[0].account }).isBetween(10, 11)
    }

    @Example
    fun `the order of one account stays`() {
        val claims = claims("one", count = 5, domain = "y") + claims("one", count = 5)
        claims.forEach { shares.recordWaiting(it) }
        repeat(50) { shares.recordGrant(claims.last(), NOW_MS) }
        assertThat(shares.ordered(claims, NOW_MS)).isEqualTo(claims)
    }

    @Example
    fun `a failure domain below its minimum goes first, once for each slot`() {
        val near = claims("a", count = 10, domain = "near") + claims("b", 10, domain = "near")
        val far = claims("a", count = 10, domain = "far")
        val waiting = (near + far).toMutableList()
        val granted = grant(waiting, grants = 16)
        assertThat(granted.count { it.domain == far[0].domain }).isBetween(4, 6)
    }

    @Example
    fun `the slot time ahead is that of the requests that the order puts first`() {
        val waiting = claims("large", count = 40) + claims("small", count = 2)
        waiting.forEach { shares.recordWaiting(it) }
        for (account in listOf("large", "small", "new")) {
            val claim = claims(account, count = 1).single().copy(name = "added")
            val order = shares.ordered(waiting + claim, NOW_MS)
            val aheadMs = order.takeWhile { it !== claim }.sumOf { it.slotMs }
            assertThat(shares.aheadMs(waiting, claim, NOW_MS), account).isEqualTo(aheadMs)
        }
    }

    @Example
    fun `the next owner knows who is ahead, and an unknown state gives even shares`() {
        val heavy = claims("heavy", count = 2, slotMs = 900.0)
        val light = claims("light", count = 2)
        shares.recordGrant(heavy[0], NOW_MS)
        val claims = listOf(heavy[1], light[1])
        val next = FairShares().also { it.inherit(shares.leads()) }
        assertThat(next.ordered(claims, NOW_MS)).containsExactly(light[1], heavy[1])
        assertThat(FairShares().ordered(claims, NOW_MS)).containsExactly(heavy[1], light[1])
    }

    private fun grant(waiting: MutableList<TestClaim>, grants: Int): List<TestClaim> {
        waiting.forEach { shares.recordWaiting(it) }
        return List(grants) {
            val claim = shares.ordered(waiting, NOW_MS).first()
            shares.recordGrant(claim, NOW_MS)
            shares.recordLeft(claim)
            claim.also { waiting.remove(it) }
        }
    }

    private companion object {
        const val NOW_MS = 100_000L
    }
}
