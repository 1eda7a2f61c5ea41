package org.hyssoprack.serving.queue

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.placement.WorkEstimate

class DispatchQueueTest {
    private fun request(rank: Int, arrivedMs: Long, giveUpMs: Long = 10_000) = QueuedRequest(
        service = ServiceId("s"),
        work = WorkEstimate(),
        rank = rank,
        arrivedMs = arrivedMs,
        targetMs = 400,
        giveUpMs = giveUpMs,
        endMs = arrivedMs + 10_000
    )

    @Example
    fun `requests that can be on time go first, then urgent ranks, then the oldest`() {
        val late = request(rank = 0, arrivedMs = 0)
        val older = request(rank = 0, arrivedMs = 700)
        val newer = request(rank = 0, arrivedMs = 800)
        val lower = request(rank = 1, arrivedMs = 600)
        val queue = DispatchQueue()
        listOf(lower, newer, late, older).forEach { queue.add(it) }
        assertThat(queue.ordered(nowMs = 900)).containsExactly(older, newer, lower, late)
        assertThat(queue.ahead(rank = 0, nowMs = 900)).isEqualTo(2)
        assertThat(queue.ahead(rank = 1, nowMs = 900)).isEqualTo(3)
    }

    @Example
    fun `one request of a rank that is served less often goes ahead of urgent ones`() {
        val urgent = List(2) { request(rank = 0, arrivedMs = 800L + it) }
        val lower = List(2) { request(rank = 1, arrivedMs = 700L + it) }
        val queue = DispatchQueue()
        val served = request(rank = 0, arrivedMs = 0)
        (urgent + lower + served).forEach { queue.recordRequest(it, nowMs = 900) }
        queue.recordGrant(served, slotMs = 1_000.0, nowMs = 900)
        (urgent + lower).forEach { queue.add(it) }
        assertThat(queue.ordered(nowMs = 900))
            .containsExactly(lower[0], urgent[0], urgent[1], lower[1])
        assertThat(queue.ahead(rank = 1, nowMs = 900)).isEqualTo(2)
    }

    @Example
    fun `late requests are not ahead of one that can be on time`() {
        val queue = DispatchQueue()
        repeat(5) { queue.add(request(rank = 0, arrivedMs = 0)) }
        assertThat(queue.ahead(rank = 1, nowMs = 900)).isEqualTo(0)
    }

    @Example
    fun `requests whose maximum waiting time has passed are removed`() {
        val short = request(rank = 0, arrivedMs = 0, giveUpMs = 500)
        val long = request(rank = 0, arrivedMs = 0, giveUpMs = 900)
        val queue = DispatchQueue()
        listOf(short, long).forEach { queue.add(it) }
        assertThat(queue.takeExpired(nowMs = 500)).containsExactly(short)
        assertThat(queue.ordered(nowMs = 500)).containsExactly(long)
    }
}
