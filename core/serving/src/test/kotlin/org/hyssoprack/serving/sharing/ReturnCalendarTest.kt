package org.hyssoprack.serving.sharing

import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import assertk.assertions.isLessThan
import assertk.assertions.isNotNull
import assertk.assertions.isNull
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.RouteName
import org.hyssoprack.serving.queue.RetryAfterPolicy

class ReturnCalendarTest {
    private val calendar = ReturnCalendar()

    private fun key(account: String, rank: Int = 0, route: String = "r") =
        ReturnKey(ClientAccount(account), RouteName(route), rank)

    private fun book(key: ReturnKey, perS: Double = 20.0, latestMs: Long = 3_000) = calendar.book(
        key = key,
        nowMs = NOW_MS,
        earliestMs = 400,
        latestMs = latestMs,
        grantsPerMs = perS / 1_000 / RETURN_SHARE
    )

    @Example
    fun `callers refused together return over the time in which slots become free`() {
        class Case(val perS: Double, val callers: Int, val lastMs: LongRange)
        val cases = listOf(
            Case(perS = 200.0, callers = 20, lastMs = 400L..500L),
            Case(perS = 20.0, callers = 20, lastMs = 1_250L..1_500L),
            Case(perS = 1.0, callers = 2, lastMs = 1_000L..2_900L)
        )
        for (case in cases) {
            val calendar = ReturnCalendar()
            val times = List(case.callers) {
                calendar.book(key("a"), NOW_MS, 400, 3_000, case.perS / 1_000 / RETURN_SHARE)!!
            }
            assertThat(times, "${case.perS}").isEqualTo(times.sorted())
            assertThat(times.first(), "${case.perS}").isBetween(400, 3_000)
            assertThat(times.last(), "${case.perS}").isBetween(case.lastMs.first, case.lastMs.last)
        }
    }

    @Example
    fun `no time is assigned after the latest, or without slots that become free`() {
        repeat(200) { book(key("a"))?.let { assertThat(it).isBetween(400, 3_000) } }
        assertThat(book(key("a"))).isNull()
        assertThat(book(key("b", rank = 9), perS = 0.0)).isNull()
        assertThat(book(key("c"), latestMs = 300)).isNull()
    }

    @Example
    fun `urgent ranks and small accounts get early times behind a large account`() {
        repeat(200) { book(key("large", rank = 1)) }
        assertThat(book(key("large", rank = 1))).isNull()
        assertThat(book(key("small", rank = 1))).isNotNull().isLessThan(600)
        assertThat(book(key("large", rank = 0))).isNotNull().isLessThan(600)
        assertThat(book(key("small", rank = 2))).isNull()
    }

    @Example
    fun `a caller is recognised once, about its time, by account, route and rank`() {
        val atMs = NOW_MS + book(key("a"))!!
        assertThat(calendar.redeem(key("a"), atMs - 1)).isEqualTo(false)
        for (other in listOf(key("b"), key("a", rank = 1), key("a", route = "x"))) {
            assertThat(calendar.redeem(other, atMs + 50), "$other").isEqualTo(false)
        }
        assertThat(calendar.redeem(key("a"), atMs + 50)).isEqualTo(true)
        assertThat(calendar.redeem(key("a"), atMs + 50)).isEqualTo(false)
        val lateMs = NOW_MS + book(key("a"))!! + 700
        assertThat(calendar.redeem(key("a"), lateMs)).isEqualTo(false)
    }

    @Example
    fun `the next owner recognises callers that the previous one told to return`() {
        val atMs = book(key("a"))!!
        val next = ReturnCalendar()
        next.inherit(calendar.expected(NOW_MS + 200), nowMs = 7_000)
        assertThat(next.redeem(key("a"), nowMs = 7_000 + atMs - 200)).isEqualTo(true)
    }

    @Example
    fun `without a time in the calendar the delay is that of the policy`() {
        val times = ReturnTimes(RetryAfterPolicy(Random(3)))
        val policy = RetryAfterPolicy(Random(3))
        fun delayMs(waitMs: Long) = times.retryAfterMs(key("a"), NOW_MS, 9_000, waitMs, 0.0)
        repeat(20) {
            assertThat(delayMs(waitMs = 0)).isEqualTo(policy.retryAfterMs(NOW_MS, 9_000))
        }
        assertThat(delayMs(waitMs = 5_000)).isEqualTo(5_000)
    }

    private companion object {
        const val NOW_MS = 100_000L

        // Share of the grants that the calendar assigns; the rates of the tests are after it.
        const val RETURN_SHARE = 0.1
    }
}
