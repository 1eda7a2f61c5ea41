package org.hyssoprack.claims

import java.util.UUID
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withContext
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/**
 * [ClaimService] on top of the table service. Repairs of rows whose last write is undecided run in
 * [scope]. Only the attempt that a claim was granted to changes its row.
 */
class DefaultClaimService(
    private val table: TableService,
    scope: CoroutineScope,
    private val settings: ClaimSettings = ClaimSettings(),
    log: EventLog = NoOpEventLog,
    private val newAttemptId: () -> String = { UUID.randomUUID().toString() }
) : ClaimService {
    private val repairs = RepairTask(
        scope = scope,
        repairer = ClaimRepairer(table),
        settings = settings,
        log = log
    )

    /** Number of repairs that are not settled yet. */
    val pendingRepairs: Int get() = repairs.pending

    override suspend fun claim(key: ClaimKey, bodyHash: String, holder: HostRef): ClaimResult {
        val own = ClaimRow(
            attempt = newAttemptId(),
            holder = holder,
            bodyHash = bodyHash,
            state = ClaimState.CLAIMED
        )
        val attempt = ClaimAttempt(
            key = key,
            own = own,
            table = table,
            maxAttempts = settings.claimAttempts
        )
        val result = withContext(NonCancellable) { attempt.run() }
        attempt.undecided?.let { markNotRun(ClaimRow.keyOf(key), own, expected = it) }
        if (result is ClaimResult.Granted && !currentCoroutineContext().isActive) {
            markNotRun(ClaimRow.keyOf(key), own, expected = result.claim.revision)
            return ClaimResultMapper.unavailable(
                Failure(ResultCode.CALLER_LEFT, "The caller disconnected before the dispatch.")
            )
        }
        return result
    }

    override suspend fun recorded(key: ClaimKey, bodyHash: String): ClaimResult? {
        val row = table.read(ClaimRow.keyOf(key))
            .fold({ return ClaimResultMapper.unavailable(it) }, { it })
            ?: return null
        return ClaimResultMapper.result(ClaimRow.of(row), bodyHash)
    }

    override suspend fun record(claim: Claim, outcome: RecordedOutcome) {
        val ended = rowOf(claim).copy(state = ClaimState.ENDED, outcome = outcome)
        if (tryWrite(claim, ended)) return
        repairs.add(ClaimRepair.Ended(rowKey = ClaimRow.keyOf(claim.key), target = ended))
    }

    override suspend fun release(claim: Claim) {
        val notRun = rowOf(claim).copy(state = ClaimState.NOT_RUN)
        if (tryWrite(claim, notRun)) return
        markNotRun(ClaimRow.keyOf(claim.key), notRun, expected = claim.revision)
    }

    private fun markNotRun(rowKey: RowKey, row: ClaimRow, expected: Long) {
        val target = row.copy(state = ClaimState.NOT_RUN)
        repairs.add(ClaimRepair.NotRun(rowKey = rowKey, target = target, expected = expected))
    }

    private suspend fun tryWrite(claim: Claim, row: ClaimRow): Boolean {
        val rowKey = ClaimRow.keyOf(claim.key)
        val result = withContext(NonCancellable) {
            table.compareAndSet(rowKey, expected = claim.revision, value = row.toJson())
        }
        return result is WriteResult.Applied
    }

    private fun rowOf(claim: Claim) = ClaimRow(
        attempt = claim.attemptId,
        holder = claim.holder,
        bodyHash = claim.bodyHash,
        state = ClaimState.CLAIMED
    )
}
