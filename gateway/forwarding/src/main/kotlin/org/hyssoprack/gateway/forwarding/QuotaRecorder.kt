package org.hyssoprack.gateway.forwarding

import arrow.core.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.hyssoprack.common.BoundedJson
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq
import org.hyssoprack.serving.limits.QuotaLedger
import org.hyssoprack.serving.limits.RecordedUsage
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.StoreEra
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/**
 * Records the usage of quotas in the store, so that it survives a simultaneous restart of all
 * hosts. The host that keeps the ledger writes an account's usage after each step of growth. A step
 * is measured in usage, not in how full the window is, since at the limit the window stays full.
 *
 * @param isLedgerOwner whether this host keeps the ledger now.
 * @param era the store's era as far as this host knows; null if it names none.
 */
class QuotaRecorder(
    private val table: TableService,
    private val ledger: QuotaLedger,
    private val isLedgerOwner: () -> Boolean,
    private val clock: Clock,
    private val log: EventLog,
    private val era: () -> StoreEra? = { null }
) {
    private val written = HashMap<ClientAccount, WrittenUsage>()
    private val writing = HashSet<ClientAccount>()
    private val outdated = HashSet<ClientAccount>()
    private var restores = 0

    private class WrittenUsage(val revision: Long, val counted: Double, val ms: Long)

    /** Loads the usage recorded before this host's start; retries until the store responds. */
    suspend fun restore() {
        while (true) {
            val rows = table.scan(TABLE, prefix = "")
            rows.onRight {
                val records = it.mapNotNull(::usageOf).toMap()
                ledger.restore(records)
                records.forEach(::logRestored)
                return
            }
            delay(RETRY_MS)
        }
    }

    /**
     * Records all usage again, since the store was restored from a copy that may lack it. Revisions
     * of before do not name the same rows.
     */
    fun storeRestored() {
        restores++
        outdated += written.keys
        written.clear()
    }

    /** Launches the writes that are due in [scope]; called periodically. */
    fun record(scope: CoroutineScope, accounts: Collection<Account>) {
        if (!isLedgerOwner()) return
        accounts.filter { isDue(it) }.forEach { account ->
            writing += account.name
            scope.launch { write(account) }
        }
    }

    private fun isDue(account: Account): Boolean {
        if (account.name in writing) return false
        if (account.name in outdated) return true
        if (ledger.usedShare(account) < QuotaLedger.RECORD_FLOOR) return false
        val last = written[account.name] ?: return true
        val ageMs = clock.nowMs() - last.ms
        val growth = ledger.countedShare(account) - last.counted
        return growth > QuotaLedger.RECORD_STEP / 2 || ageMs > REFRESH_MS
    }

    private suspend fun write(account: Account) {
        try {
            val counted = ledger.countedShare(account)
            val text = Json.encodeToString(QuotaRecord.serializer(), recordOf(account.name))
            val key = RowKey(TABLE, account.name.value)
            val expected = written[account.name]?.revision ?: 0
            val restoresBefore = restores
            val result = withTimeoutOrNull(WRITE_LIMIT_MS) {
                table.compareAndSet(key, expected, text)
            } ?: return log.event("quota-record-unanswered", "account" eq account.name)
            val revision = revisionAfter(result) ?: return handleFailure(account.name, result)
            if (restores != restoresBefore) return
            // After a conflict the row holds another host's record, so any further usage is
            // written.
            val isOwnRecord = result is WriteResult.Applied
            if (isOwnRecord) outdated -= account.name
            written[account.name] =
                WrittenUsage(revision, if (isOwnRecord) counted else NEVER, clock.nowMs())
        } finally {
            writing -= account.name
        }
    }

    private fun revisionAfter(result: WriteResult): Long? = when (result) {
        is WriteResult.Applied -> result.row.revision
        is WriteResult.Conflict -> result.current?.revision ?: 0
        is WriteResult.Refused, is WriteResult.Undecided -> null
    }

    private suspend fun handleFailure(account: ClientAccount, result: WriteResult) {
        log.event("quota-record-failed", "account" eq account, "result" eq result)
        // The account counts as being written during the delay, so a failing store is not called in
        // a tight loop.
        delay(RETRY_MS)
    }

    private fun logRestored(account: ClientAccount, record: RecordedUsage) = log.event(
        "quota-restored",
        "account" eq account,
        "used" eq record.slices.sumOf { it.amount }.toLong(),
        "ageMs" eq record.ageMs,
        "outdated" eq record.isOutdated
    )

    private fun recordOf(account: ClientAccount): QuotaRecord {
        val shiftMs = clock.epochMs() - clock.nowMs()
        val slices = ledger.slices(account).map { it.copy(startMs = it.startMs + shiftMs) }
        return QuotaRecord(slices = slices, writtenMs = clock.epochMs(), era = era())
    }

    private fun usageOf(row: Row): Pair<ClientAccount, RecordedUsage>? {
        val shiftMs = clock.epochMs() - clock.nowMs()
        val record = BoundedJson.decode(QuotaRecord.serializer(), row.value).getOrElse {
            log.event("quota-record-unreadable", "row" eq row.key.key, "detail" eq it)
            return null
        }
        val slices = record.slices.map { it.copy(startMs = it.startMs - shiftMs) }
        val usage = RecordedUsage(
            slices = slices,
            ageMs = clock.epochMs() - record.writtenMs,
            isOutdated = isOlderThanStore(record.era)
        )
        written[ClientAccount(row.key.key)] = WrittenUsage(row.revision, NEVER, clock.nowMs())
        return ClientAccount(row.key.key) to usage
    }

    /** Returns whether the store was restored since the write, so that later writes may be lost. */
    private fun isOlderThanStore(written: StoreEra?): Boolean {
        val now = era()
        return written != null && now != null && written < now
    }

    private companion object {
        const val TABLE = "quota"
        const val RETRY_MS = 200L

        // A lost write is retried while the usage since the last record is still small.
        const val WRITE_LIMIT_MS = 250L

        // Time after which a record is written again even without growth. A record of steady usage
        // is accurate enough for about this part of a window.
        const val REFRESH_MS = 3_000L

        // Stands for the usage in a row that this host did not write. It is lower than any usage by
        // at least a step, so the next usage is written.
        const val NEVER = -1.0
    }
}
