package org.hyssoprack.serving.placement

import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NoOpEventLog

class MemoryLedgerTest {
    private val clock = ManualClock(1_000)
    private val id = BackendServerId("a")
    private val bounds = MemoryBounds(clock, NoOpEventLog)
    private val outputs = OutputSpread()

    private fun ledger() = MemoryLedger(capacity = 10_000, outputs, bounds[id], clock)

    /** Guards against servers that crash since their streams outgrow the callers' estimates. */
    @Example
    fun `outputs are planned by their upper quantile, whatever the tokens of an event`() {
        val work = WorkEstimate(promptTokens = 500, outputTokens = 1_000)
        for (perEvent in listOf(1, 4)) {
            val spread = OutputSpread()
            val ledger = MemoryLedger(capacity = 100_000, spread, bounds[id], clock)
            ledger.add(work)
            assertThat(ledger.usedTokens, "no samples").isEqualTo(1_500.0)
            // Three of four streams meet the estimate, one needs three times as much.
            repeat(160) { spread.record(1_000, (if (it % 4 == 0) 3_000 else 1_000) / perEvent) }
            assertThat(ledger.usedTokens, "$perEvent").isBetween(3_490.0, 3_510.0)
            repeat(8) { ledger.add(work) }
            // Nine independent streams are together nearer to their mean of 1,500.
            assertThat(ledger.usedTokens, "$perEvent").isBetween(22_000.0, 23_000.0)
            repeat(9) { ledger.remove(work) }
            assertThat(ledger.usedTokens, "$perEvent").isEqualTo(0.0)
        }
    }

    @Example
    fun `a request fits beside others within the bound, and alone within the whole memory`() {
        class Case(
            val used: Int,
            val tokens: Int,
            val others: Int,
            val isIdle: Boolean,
            val fits: Boolean
        )
        val cases = listOf(
            Case(used = 5_000, tokens = 4_000, others = 0, isIdle = false, fits = true),
            Case(used = 5_000, tokens = 4_001, others = 0, isIdle = false, fits = false),
            Case(used = 5_000, tokens = 3_000, others = 1_001, isIdle = false, fits = false),
            Case(used = 0, tokens = 10_000, others = 0, isIdle = true, fits = true),
            Case(used = 0, tokens = 10_001, others = 0, isIdle = true, fits = false)
        )
        for (case in cases) {
            val ledger = ledger()
            if (case.used > 0) ledger.add(WorkEstimate(promptTokens = case.used))
            val fits = ledger.hasRoom(WorkEstimate(case.tokens), case.others, case.isIdle)
            assertThat(fits, "${case.used} ${case.tokens}").isEqualTo(case.fits)
        }
    }

    /** Guards against a server that crashes again and again at the same load. */
    @Example
    fun `several lost connections at once with a nearly full memory lower the bound for a time`() {
        class Case(val name: String, val used: Int, val gapsMs: List<Long>, val isLowered: Boolean)
        val cases = listOf(
            Case("a crash", used = 7_000, gapsMs = listOf(0, 20, 20), isLowered = true),
            Case("one connection", used = 7_000, gapsMs = listOf(0), isLowered = false),
            Case("apart", used = 7_000, gapsMs = listOf(0, 600, 600), isLowered = false),
            Case("much memory left", used = 6_000, gapsMs = listOf(0, 20), isLowered = false)
        )
        for ((i, case) in cases.withIndex()) {
            val bound = bounds[BackendServerId("$i")]
            val ledger = MemoryLedger(capacity = 10_000, outputs, bound, clock)
            repeat(case.gapsMs.size) { ledger.add(WorkEstimate(case.used / case.gapsMs.size)) }
            for (gapMs in case.gapsMs) {
                clock.advance(gapMs)
                ledger.recordLoss()
                ledger.remove(WorkEstimate(case.used / case.gapsMs.size))
            }
            assertThat(bound.isLowered, case.name).isEqualTo(case.isLowered)
            if (!case.isLowered) continue
            assertThat(bound.share, case.name).isBetween(0.79, 0.81)
            bounds.forgetOthers(emptySet())
            assertThat(bounds[BackendServerId("$i")].isLowered, "${case.name}, new instance")
                .isEqualTo(true)
            clock.advance(61_000)
            assertThat(bound.share, case.name).isEqualTo(0.9)
        }
        val crashing = bounds[id]
        repeat(20) { crashing.lower(used = 9_000.0, capacity = 10_000) }
        assertThat(crashing.share).isBetween(0.49, 0.51)
    }
}
