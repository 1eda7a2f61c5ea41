package org.hyssoprack.gateway.forwarding

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isLessThan
import assertk.assertions.isLessThanOrEqualTo
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.serving.limits.QuotaLedger
import org.hyssoprack.serving.limits.QuotaTolerance
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.serving.settings.QuotaUnit
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey

class QuotaRecorderTest {
    private val self = HostRef(HostId("a"), Incarnation(1))
    private var isLedgerOwner = true
    private val clock = ManualClock(100_000)
    private var table = RecordingTable()
    private val account = Account(
        name = ClientAccount("bakery"),
        unit = QuotaUnit.REQUESTS,
        ratePerS = 100.0,
        burst = 0.0
    )
    private val quota = account.ratePerS * WINDOW_S
    private var ledger = ledger()
    private var recorder = recorder()

    @Example
    fun `continuing usage at the limit is recorded`() {
        runBlocking { recorder.restore() }
        var sinceWrite = 0.0
        repeat(SECONDS * STEPS_PER_S) {
            val before = table.writes
            if (ledger.admit(self, account, 1.0)) sinceWrite++
            recorder.record(CoroutineScope(Dispatchers.Unconfined), listOf(account))
            if (table.writes > before) sinceWrite = 0.0
            val isStarting = it < STEPS_PER_S * WINDOW_S
            if (!isStarting) assertThat(sinceWrite).isLessThan(quota * QuotaLedger.RECORD_STEP)
            clock.advance(1_000L / STEPS_PER_S)
        }
    }

    @Example
    fun `a restart keeps the window within its tolerance`() {
        class Case(val name: String, val lostSteps: Int, val downMs: Long)
        val cases = listOf(
            Case("in the middle of steady use", lostSteps = 0, downMs = 0),
            Case("after three seconds of lost writes", lostSteps = 450, downMs = 1_200)
        )
        for (case in cases) {
            startEmpty()
            simulateRestart(case.name, case.lostSteps, case.downMs)
        }
    }

    @Example
    fun `usage is recorded again at once when the store was restored from an older copy`() {
        class Case(val name: String, val restoredRow: Row?)
        val key = RowKey("quota", "bakery")
        val cases = listOf(
            Case("the row is not in the copy", restoredRow = null),
            Case("an older row", Row(key, revision = 1, value = "{}")),
            Case("the row's revision was given out again", Row(key, revision = 2, value = "{}"))
        )
        for (case in cases) {
            startEmpty()
            val scope = CoroutineScope(Dispatchers.Unconfined)
            repeat(2) {
                repeat(quota.toInt() / 3) { ledger.admit(self, account, 1.0) }
                recorder.record(scope, listOf(account))
            }
            val before = table.rows.getValue(key)
            table.rows.remove(key)
            case.restoredRow?.let { table.rows[key] = it }
            recorder.storeRestored()
            repeat(2) { recorder.record(scope, listOf(account)) }
            assertThat(before.revision, case.name).isEqualTo(2L)
            assertThat(table.rows[key]?.value, case.name).isEqualTo(before.value)
        }
    }

    @Example
    fun `a store that refuses writes is not asked in a loop`() {
        runBlocking { recorder.restore() }
        repeat(quota.toInt() / 2) { ledger.admit(self, account, 1.0) }
        table.isRejecting = true
        val scope = CoroutineScope(Dispatchers.Unconfined)
        repeat(100) { recorder.record(scope, listOf(account)) }
        assertThat(table.attempts).isEqualTo(1)
    }

    @Example
    fun `a host that does not keep the ledger writes nothing`() {
        runBlocking { recorder.restore() }
        repeat(quota.toInt() / 2) { ledger.admit(self, account, 1.0) }
        isLedgerOwner = false
        recorder.record(CoroutineScope(Dispatchers.Unconfined), listOf(account))
        assertThat(table.attempts).isEqualTo(0)
    }

    /**
     * Uses the account above its quota, and restarts all hosts once after [lostSteps] steps in
     * which writes are lost.
     */
    private fun simulateRestart(name: String, lostSteps: Int, downMs: Long) {
        val admitted = ArrayDeque<Long>()
        for (step in 0 until SECONDS * STEPS_PER_S) {
            table.isLosingWrites = step in RESTART_AT_STEP - lostSteps until RESTART_AT_STEP
            if (step == RESTART_AT_STEP) {
                clock.advance(downMs)
                restart()
            }
            if (ledger.admit(self, account, 1.0)) admitted += clock.nowMs()
            recorder.record(CoroutineScope(Dispatchers.Unconfined), listOf(account))
            while (admitted.first() <= clock.nowMs() - WINDOW_S * 1_000) admitted.removeFirst()
            assertThat(admitted.size.toDouble(), name)
                .isLessThanOrEqualTo(quota * (1 + OVERAGE))
            clock.advance(1_000L / STEPS_PER_S)
        }
    }

    private fun startEmpty() {
        table = RecordingTable()
        restart()
    }

    private fun restart() {
        ledger = ledger()
        recorder = recorder()
        runBlocking { recorder.restore() }
    }

    private fun ledger() = QuotaLedger(
        clock,
        { QuotaTolerance(windowMs = WINDOW_S * 1_000L, overage = OVERAGE) }
    ) { 1.0 }

    private fun recorder() = QuotaRecorder(
        table = table,
        ledger = ledger,
        isLedgerOwner = { isLedgerOwner },
        clock = clock,
        log = NoOpEventLog
    )

    private companion object {
        const val WINDOW_S = 8
        const val OVERAGE = 0.1
        const val SECONDS = 40

        // One and a half times the rate of the quota.
        const val STEPS_PER_S = 150

        // Not at the time of a write; the window is full by then.
        const val RESTART_AT_STEP = 2_900
    }
}
