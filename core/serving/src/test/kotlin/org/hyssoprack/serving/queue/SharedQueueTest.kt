package org.hyssoprack.serving.queue

import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThan
import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.placement.WorkEstimate

class SharedQueueTest {
    private fun request(
        account: String,
        arrivedMs: Long,
        rank: Int = 0,
        isStarted: Boolean = false,
        domain: String = "z"
    ) = QueuedRequest(
        service = ServiceId("s"),
        work = WorkEstimate(),
        rank = rank,
        arrivedMs = arrivedMs,
        targetMs = 400,
        giveUpMs = arrivedMs + GIVE_UP_MS,
        endMs = arrivedMs + 10_000,
        isStarted = isStarted,
        domain = FailureDomain(domain),
        account = ClientAccount(account)
    )

    // Guards against a change of the order where nothing is shared: the comparator is that of the
    // build before fair shares.
    @Property(tries = 300)
    fun `with one account the order is that of urgency and age`(@ForAll seed: Int) {
        val random = Random(seed)
        val queue = DispatchQueue()
        val requests = List(random.nextInt(60)) {
            request(
                account = "one",
                arrivedMs = NOW_MS - random.nextLong(600),
                rank = random.nextInt(3),
                isStarted = random.nextInt(8) == 0,
                domain = "z${random.nextInt(3)}"
            )
        }
        requests.forEach { queue.add(it, slotMs = random.nextDouble(1.0, 900.0)) }
        repeat(random.nextInt(30)) {
            queue.recordGrant(requests.randomOrNull(random) ?: return@repeat, 50.0, NOW_MS)
        }
        val before = requests.sortedWith(
            compareBy({ !it.isStarted }, { !it.canBeOnTime(NOW_MS) }, { it.rank }, { it.arrivedMs })
        )
        assertThat(queue.ordered(NOW_MS)).isEqualTo(before)
    }

    @Example
    fun `an account with a multiple of its load takes nothing from accounts below their share`() {
        val alone = servedShares(factor = 1.0)
        val crowded = servedShares(factor = 7.5)
        for ((account, share) in alone - HEAVY) {
            assertThat(crowded.getValue(account), account).isBetween(share - 0.02, 1.0)
        }
        // Nor does it starve, and it gets what the others leave.
        assertThat(crowded.getValue(HEAVY)).isGreaterThan(0.2)
    }

    // Guards against refusals by the length of the queue, which hit the accounts below their share.
    @Example
    fun `only requests behind too much slot time in the order of shares are refused on arrival`() {
        class Case(val account: String, val isReturning: Boolean, val isInTime: Boolean)
        val cases = listOf(
            Case(HEAVY, isReturning = false, isInTime = false),
            Case(HEAVY, isReturning = true, isInTime = true),
            Case("light", isReturning = false, isInTime = true)
        )
        for (case in cases) {
            val queue = DispatchQueue()
            repeat(100) { queue.add(request(HEAVY, NOW_MS), SLOT_MS) }
            val added = request(case.account, NOW_MS)
            queue.add(added, SLOT_MS, case.isReturning)
            val forecast = queue.forecast(added, SLOTS.toDouble(), NOW_MS)
            val isInTime = forecast.isInTime(added.onTimeWaitMs(NOW_MS), GIVE_UP_MS)
            assertThat(isInTime, "${case.account} ${case.isReturning}").isEqualTo(case.isInTime)
            assertThat(queue.ordered(NOW_MS).first() === added, case.account)
                .isEqualTo(case.isReturning)
        }
    }

    /** Returns the share of each account's requests that got one of ten slots in time. */
    private fun servedShares(factor: Double): Map<String, Double> {
        val random = Random(7)
        val queue = DispatchQueue()
        val perMs = (1..5).associate { "a$it" to 0.15 / SLOT_MS * SLOTS }.toMutableMap()
        perMs[HEAVY] = perMs.getValue(HEAVY) * factor
        val asked = HashMap<String, Int>()
        val served = HashMap<String, Int>()
        val busyUntilMs = LongArray(SLOTS)
        for (nowMs in 0L..60_000L) {
            for ((account, rate) in perMs) {
                if (random.nextDouble() >= rate) continue
                asked.merge(account, 1, Int::plus)
                queue.add(request(account, nowMs), SLOT_MS)
            }
            queue.takeExpired(nowMs)
            for (slot in busyUntilMs.indices.filter { busyUntilMs[it] <= nowMs }) {
                val next = queue.ordered(nowMs).firstOrNull() ?: break
                queue.recordGrant(next, SLOT_MS, nowMs)
                queue.remove(next)
                busyUntilMs[slot] = nowMs + SLOT_MS.toLong()
                served.merge(next.account!!.value, 1, Int::plus)
            }
        }
        return asked.mapValues { (account, count) -> (served[account] ?: 0) / count.toDouble() }
    }

    private companion object {
        const val NOW_MS = 100_000L
        const val GIVE_UP_MS = 1_600L
        const val SLOTS = 10
        const val SLOT_MS = 200.0
        const val HEAVY = "a1"
    }
}
