package org.hyssoprack.burn

import assertk.assertThat
import assertk.assertions.contains
import assertk.assertions.containsExactly
import assertk.assertions.doesNotContain
import assertk.assertions.isCloseTo
import assertk.assertions.isEqualTo
import assertk.assertions.isLessThan
import kotlinx.serialization.json.Json
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.TierName

class BurnReportTest {
    private val clock = ManualClock(ms = 1_700_000_000_000)
    private val letters = TierName("letters")
    private val tags = TierName("tags")
    private val objectives = listOf(TierObjective(letters, 0.99), TierObjective(tags, 0.95))
    private val families = ClientAccount("families")

    @Example
    fun `outcomes follow the result codes`() {
        val cases = listOf(
            ResultCode.OK to SloOutcome.DONE,
            ResultCode.OK_RECORDED to SloOutcome.DONE,
            ResultCode.QUEUE_FULL to SloOutcome.SHED,
            ResultCode.DEADLINE_PASSED_WAITING to SloOutcome.SHED,
            ResultCode.CALLER_LEFT to SloOutcome.ABANDONED,
            ResultCode.GIVEN_UP to SloOutcome.ABANDONED,
            ResultCode.STREAM_BROKEN to SloOutcome.BROKEN,
            ResultCode.PREEMPTED to SloOutcome.BROKEN,
            ResultCode.DEADLINE_PASSED_RUNNING to SloOutcome.LATE,
            ResultCode.CLAIMED_BY_OTHER to SloOutcome.UNKNOWN,
            ResultCode.KEY_UNKNOWN to SloOutcome.REFUSED_INPUT,
            ResultCode.INTERNAL to SloOutcome.UNKNOWN
        )
        for ((code, outcome) in cases) {
            assertThat(SloOutcome.of(code, inTime = true)).isEqualTo(outcome)
        }
        assertThat(SloOutcome.of(ResultCode.OK, inTime = false)).isEqualTo(SloOutcome.LATE)
    }

    @Example
    fun `the rate is the share of misses over the share allowed`() {
        val log = BurnTracker(clock)
        record(log, SloOutcome.DONE, times = 90)
        record(log, SloOutcome.SHED, times = 7)
        record(log, SloOutcome.LATE, times = 3)
        record(log, SloOutcome.REFUSED_INPUT, times = 50)
        record(log, SloOutcome.ABANDONED, times = 50)
        val tier = report(log).tiers.first()
        for (window in tier.windows) assertThat(window.rate).isCloseTo(10.0, 1e-9)
        assertThat(tier.windows.map { it.mainCause }.distinct()).containsExactly("shed")
    }

    @Example
    fun `windows exclude older counts`() {
        val log = BurnTracker(clock)
        record(log, SloOutcome.SHED, times = 10)
        clock.advance(6 * 60_000)
        record(log, SloOutcome.DONE, times = 10)
        assertThat(rates(log)).containsExactly(0.0, 50.0, 50.0)
        clock.advance(60 * 60_000)
        assertThat(rates(log)).containsExactly(0.0, 0.0, 50.0)
        clock.advance(6 * 60 * 60_000)
        assertThat(rates(log)).containsExactly(0.0, 0.0, 0.0)
    }

    @Example
    fun `a status needs two windows over the threshold`() {
        class Case(
            val short: Double,
            val middle: Double,
            val long: Double,
            val expected: BurnStatus
        )
        val cases = listOf(
            Case(0.0, 0.0, 0.0, BurnStatus.OK),
            Case(50.0, 2.0, 1.0, BurnStatus.OK),
            Case(0.0, 20.0, 3.0, BurnStatus.OK),
            Case(20.0, 20.0, 3.0, BurnStatus.FAST_BURN),
            Case(0.0, 7.0, 7.0, BurnStatus.SLOW_BURN)
        )
        for (case in cases) {
            val rates = BurnWindow.entries.zip(listOf(case.short, case.middle, case.long)).toMap()
            assertThat(BurnStatus.of(rates, objective = 0.99)).isEqualTo(case.expected)
        }
        val all = BurnWindow.entries.associateWith { 1 / (1 - 0.9) }
        assertThat(BurnStatus.of(all, objective = 0.9)).isEqualTo(BurnStatus.FAST_BURN)
    }

    @Property(tries = 100)
    fun `merging hosts adds their counts up`(
        @ForAll @Size(max = 60) outcomes: MutableList<SloOutcome>,
        @ForAll @IntRange(min = 1, max = 5) hosts: Int
    ) {
        val single = BurnTracker(clock)
        val logs = List(hosts) { BurnTracker(clock) }
        for ((index, outcome) in outcomes.withIndex()) {
            single.record(letters, families, outcome)
            logs[index % hosts].record(letters, families, outcome)
        }
        val parts = logs.mapIndexed { index, log -> log.snapshot(HostId("h$index"), objectives) }
        val merged = BurnSnapshot.merge(parts)!!
        val whole = single.snapshot(HostId("h0"), objectives)
        assertThat(merged.points.toSet()).isEqualTo(whole.points.toSet())
        assertThat(merged.accounts.toSet()).isEqualTo(whole.accounts.toSet())
    }

    @Example
    fun `many accounts take bounded space and none of their requests is lost`() {
        val log = BurnTracker(clock)
        repeat(11_000) { log.record(letters, ClientAccount("a$it"), SloOutcome.DONE) }
        log.record(letters, families, SloOutcome.BROKEN)
        clock.advance(300_000)
        log.record(letters, families, SloOutcome.DONE)
        val snapshot = log.snapshot(HostId("h1"), objectives)
        assertThat(snapshot.accounts.size).isLessThan(1_000)
        val report = BurnReport.of(snapshot)
        assertThat(report.tiers.first().windows.last().counts.total).isEqualTo(11_002L)
        assertThat(report.accounts.map { it.account }).containsExactly(families)
    }

    @Example
    fun `reports name the burning tier, its cause and hosts that did not respond`() {
        val log = BurnTracker(clock)
        record(log, SloOutcome.SHED, times = 40)
        record(log, SloOutcome.DONE, times = 60)
        log.record(tags, ClientAccount("<b>"), SloOutcome.BROKEN)
        val report = BurnReport.of(log.snapshot(HostId("h1"), objectives), listOf("127.0.0.1:9"))
        val text = TextReport.write(report)
        for (part in listOf("letters", "FAST BURN", "40.0", "shed", "127.0.0.1:9")) {
            assertThat(text).contains(part)
        }
        val page = HtmlReport.write(report)
        for (part in listOf(
            "letters",
            "FAST BURN",
            "<b>shed</b>: 40 of 40",
            "127.0.0.1:9",
            "<svg"
        )) {
            assertThat(page).contains(part)
        }
        assertThat(page).contains("&lt;b&gt;")
        assertThat(page).doesNotContain("<td><b>")
        assertThat(page).doesNotContain("src=")
        assertThat(Json.decodeFromString<BurnReport>(report.json())).isEqualTo(report)
    }

    @Example
    fun `a report without any request says so`() {
        val report = report(BurnTracker(clock))
        assertThat(HtmlReport.write(report)).contains("Nothing missed it.")
        assertThat(report.tiers.map { it.status }.distinct()).containsExactly(BurnStatus.OK)
    }

    private fun record(log: BurnTracker, outcome: SloOutcome, times: Int) =
        repeat(times) { log.record(letters, families, outcome) }

    private fun report(log: BurnTracker) = BurnReport.of(log.snapshot(HostId("h1"), objectives))

    private fun rates(log: BurnTracker) = report(log).tiers.first().windows.map { it.rate }
        .map { Math.round(it * 1000) / 1000.0 }
}
