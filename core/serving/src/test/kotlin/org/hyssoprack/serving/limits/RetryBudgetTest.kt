package org.hyssoprack.serving.limits

import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.ServiceId

class RetryBudgetTest {
    private val service = ServiceId("letters")

    @Example
    fun `retries stay within the ratio and an even share of the slack`() {
        class Case(
            val name: String,
            val requests: Int,
            val hosts: Int,
            val least: Int,
            val most: Int
        )
        val cases = listOf(
            Case("no requests, alone", requests = 0, hosts = 1, least = 30, most = 58),
            Case("no requests, nine hosts", requests = 0, hosts = 9, least = 3, most = 6),
            Case("many requests, nine hosts", requests = 500, hosts = 9, least = 70, most = 106)
        )
        for (case in cases) {
            val budget = budget(ManualClock(0), case.hosts)
            repeat(case.requests) { budget.recordRequest(service) }
            assertThat(acquireAll(budget), case.name).isBetween(case.least, case.most)
        }
    }

    @Example
    fun `the budget is available again as the window passes`() {
        val clock = ManualClock(0)
        val budget = budget(clock, hosts = 9)
        val first = acquireAll(budget)
        assertThat(acquireAll(budget)).isEqualTo(0)
        clock.advance(11_000)
        assertThat(acquireAll(budget)).isEqualTo(first)
    }

    private fun budget(clock: ManualClock, hosts: Int) = RetryBudget(
        clock = clock,
        ratio = { 0.2 },
        slack = { 58.0 },
        windowMs = 10_000,
        hostCount = { hosts }
    )

    private fun acquireAll(budget: RetryBudget): Int {
        var count = 0
        while (budget.tryAcquire(service)) count++
        return count
    }
}
