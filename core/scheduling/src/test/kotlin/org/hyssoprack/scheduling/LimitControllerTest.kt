package org.hyssoprack.scheduling

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import assertk.assertions.isGreaterThan
import assertk.assertions.isLessThan
import assertk.assertions.isTrue
import net.jqwik.api.Example
import org.hyssoprack.common.PoolName
import org.hyssoprack.policy.Pool

class LimitControllerTest {
    private val pool = Pool(PoolName("p"), firstTokenTargetMs = 500, tokenTargetMs = 50)
    private var nowMs = 0L

    private fun controller() = LimitController(SLOTS, pool)

    private fun LimitController.feed(
        times: Int,
        tokenMs: Double = 20.0,
        firstTokenMs: Double = 100.0,
        lent: Int? = null,
        peersMs: Double? = null
    ) = repeat(times) {
        nowMs += 600
        val sample = ServerSample(1, firstTokenMs, tokenMs, prefillTokens = 0)
        recordMeasurement(nowMs, sample, lent ?: limit, peersMs)
    }

    @Example
    fun `the limit follows the targets within its bounds`() {
        val cases = listOf(
            Pair(20.0, 100.0) to SLOTS,
            Pair(55.0, 100.0) to SLOTS / 4,
            Pair(20.0, 600.0) to SLOTS / 4
        )
        cases.forEach { (sample, expected) ->
            val controller = controller()
            controller.feed(30, tokenMs = sample.first, firstTokenMs = sample.second)
            assertThat(controller.limit).isEqualTo(expected)
        }
    }

    @Example
    fun `the limit grows slowly, and only while its slots are lent`() {
        val controller = controller()
        controller.feed(30, tokenMs = 55.0)
        val low = controller.limit
        controller.feed(5, lent = 0)
        assertThat(controller.limit).isEqualTo(low)
        controller.feed(1)
        assertThat(controller.limit).isGreaterThan(low)
        assertThat(controller.limit).isLessThan(SLOTS)
        controller.feed(20)
        assertThat(controller.limit).isEqualTo(SLOTS)
    }

    @Example
    fun `a server five times slower than before gets one slot and its limit recovers in steps`() {
        val controller = controller()
        controller.feed(20, tokenMs = 5.0)
        controller.feed(4, tokenMs = 25.0)
        assertThat(controller.isStraggling).isTrue()
        assertThat(controller.limit).isEqualTo(1)
        controller.feed(10, tokenMs = 5.0)
        assertThat(controller.isStraggling).isFalse()
        assertThat(controller.limit).isLessThan(SLOTS)
        controller.feed(20, tokenMs = 5.0)
        assertThat(controller.limit).isEqualTo(SLOTS)
    }

    @Example
    fun `a new server that is slower than its peers is a straggler`() {
        val controller = controller()
        controller.feed(1, tokenMs = 25.0, peersMs = 5.0)
        assertThat(controller.isStraggling).isTrue()
    }

    @Example
    fun `a change of the server's slots scales the limit`() {
        val controller = controller()
        controller.change(SLOTS * 2, pool)
        assertThat(controller.limit).isEqualTo(SLOTS * 2)
        controller.change(0, pool)
        assertThat(controller.limit).isEqualTo(0)
        controller.change(SLOTS, pool)
        assertThat(controller.limit).isEqualTo(SLOTS)
    }

    private companion object {
        const val SLOTS = 16
    }
}
