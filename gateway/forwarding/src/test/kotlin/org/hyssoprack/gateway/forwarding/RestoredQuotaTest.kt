package org.hyssoprack.gateway.forwarding

import assertk.assertThat
import assertk.assertions.isLessThanOrEqualTo
import assertk.assertions.isTrue
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
import org.hyssoprack.store.StoreEra

/** All hosts restart while the store is restored, before the use of quotas is recorded again. */
class RestoredQuotaTest {
    private val self = HostRef(HostId("a"), Incarnation(1))
    private val clock = ManualClock(100_000)
    private val table = RecordingTable()
    private val account = Account(
        name = ClientAccount("bakery"),
        unit = QuotaUnit.REQUESTS,
        ratePerS = 100.0
    )
    private val quota = account.ratePerS * WINDOW_S
    private var era = StoreEra(1)
    private var ledger = ledger()
    private var recorder = recorder()
    private val admitted = ArrayDeque<Long>()

    @Example
    fun `a restart with an older copy of the records keeps the window within its tolerance`() {
        runBlocking { recorder.restore() }
        use(seconds = 10)
        val copy = table.rows.toMap()
        use(seconds = 9)
        table.rows.clear()
        table.rows += copy
        era = StoreEra(2)
        clock.advance(DOWN_MS)
        ledger = ledger()
        recorder = recorder()
        runBlocking { recorder.restore() }
        use(seconds = 10)
    }

    @Example
    fun `a record of an account that is idle is written again in the new era`() {
        runBlocking { recorder.restore() }
        use(seconds = 4)
        clock.advance(2 * WINDOW_MS)
        era = StoreEra(2)
        recorder.storeRestored()
        val scope = CoroutineScope(Dispatchers.Unconfined)
        repeat(2) { recorder.record(scope, listOf(account)) }
        ledger = ledger()
        recorder = recorder()
        runBlocking { recorder.restore() }
        assertThat(ledger.admit(self, account, 1.0)).isTrue()
    }

    /** Uses the account at three times its quota. */
    private fun use(seconds: Int) {
        val scope = CoroutineScope(Dispatchers.Unconfined)
        repeat(seconds * STEPS_PER_S) {
            if (ledger.admit(self, account, 1.0)) admitted += clock.nowMs()
            recorder.record(scope, listOf(account))
            while (admitted.firstOrNull().let { it != null && it <= clock.nowMs() - WINDOW_MS }) {
                admitted.removeFirst()
            }
            assertThat(admitted.size.toDouble()).isLessThanOrEqualTo(quota * (1 + OVERAGE))
            clock.advance(1_000L / STEPS_PER_S)
        }
    }

    private fun ledger() =
        QuotaLedger(clock, { QuotaTolerance(windowMs = WINDOW_MS, overage = OVERAGE) }) { 1.0 }

    private fun recorder() = QuotaRecorder(
        table = table,
        ledger = ledger,
        isLedgerOwner = { true },
        clock = clock,
        log = NoOpEventLog,
        era = { era }
    )

    private companion object {
        const val WINDOW_S = 8
        const val WINDOW_MS = WINDOW_S * 1_000L
        const val OVERAGE = 0.1
        const val STEPS_PER_S = 250
        const val DOWN_MS = 1_200L
    }
}
