package org.hyssoprack.claims

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isNotEqualTo
import assertk.assertions.isNull
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

class ClaimServiceTest {
    private val key = ClaimKey(ClientAccount("a"), IdempotencyKey("k"))
    private val holder = HostRef(HostId("h"), Incarnation(1))
    private val outcome = RecordedOutcome(code = ResultCode.OK.number, status = 201)

    private data class Case(
        val name: String,
        val before: suspend (ClaimService) -> Unit,
        val bodyHash: String,
        val code: ResultCode?
    )

    private val cases = listOf(
        Case("a first attempt is granted", before = {}, bodyHash = "x", code = null),
        Case("a claimed call is denied to another attempt", {
            claim(it)
        }, "x", ResultCode.CLAIMED_BY_OTHER),
        Case("a key with another body is denied", { claim(it) }, "y", ResultCode.KEY_REUSED),
        Case("a released claim is granted again", { it.release(claim(it)) }, "x", code = null),
        Case(
            "an ended call gives its outcome",
            before = { it.record(claim(it), outcome) },
            bodyHash = "x",
            code = ResultCode.OK
        )
    )

    @Example
    fun `the result of a claim depends on the earlier attempts`() = cases.forEach { case ->
        withService(PlainTable()) { service ->
            case.before(service)
            val code = when (val result = service.claim(key, case.bodyHash, holder)) {
                is ClaimResult.Granted -> null
                is ClaimResult.Recorded -> ResultCode.ofNumber(result.outcome.code)
                is ClaimResult.Denied -> result.failure.code
            }
            assertThat(code, case.name).isEqualTo(case.code)
        }
    }

    @Example
    fun `a store that is down denies the claim as not run`() = withService(DownTable) { service ->
        val denied = service.claim(key, "x", holder) as ClaimResult.Denied
        assertThat(denied.failure.code).isEqualTo(ResultCode.CLAIM_STORE_UNAVAILABLE)
    }

    @Example
    fun `nothing is recorded for a call that was never claimed`() =
        withService(PlainTable()) { service ->
            assertThat(service.recorded(key, "x")).isNull()
        }

    @Example
    fun `account and key are separated unambiguously in the row key`() {
        val one = ClaimKey(ClientAccount("a/b"), IdempotencyKey("c"))
        val other = ClaimKey(ClientAccount("a"), IdempotencyKey("b/c"))
        assertThat(ClaimRow.keyOf(one)).isNotEqualTo(ClaimRow.keyOf(other))
    }

    @Example
    fun `repairs over the limit are dropped and not kept`() = runBlocking {
        val scope = CoroutineScope(Dispatchers.Default + Job())
        val settings = ClaimSettings(repairDelayMs = 60_000, repairLimit = 5)
        val service = DefaultClaimService(DownTable, scope, settings)
        val claim = Claim(key, attemptId = "1", revision = 1, holder = holder, bodyHash = "x")
        repeat(20) { service.record(claim, outcome) }
        assertThat(service.pendingRepairs).isEqualTo(5)
        scope.cancel()
    }

    private suspend fun claim(service: ClaimService): Claim =
        (service.claim(key, bodyHash = "x", holder = holder) as ClaimResult.Granted).claim

    private fun withService(table: TableService, block: suspend (ClaimService) -> Unit) =
        runBlocking {
            val scope = CoroutineScope(Dispatchers.Default + Job())
            block(DefaultClaimService(table, scope))
            scope.cancel()
        }

    private class PlainTable : TableService by DownTable {
        private var row: Row? = null

        override suspend fun read(key: RowKey): Either<Failure, Row?> = row.right()

        override suspend fun compareAndSet(
            key: RowKey,
            expected: Long,
            value: String
        ): WriteResult {
            if ((row?.revision ?: 0) != expected) return WriteResult.Conflict(row)
            val next = Row(key = key, revision = expected + 1, value = value)
            row = next
            return WriteResult.Applied(next)
        }
    }

    private object DownTable : TableService {
        private val down = Failure(ResultCode.STORE_UNAVAILABLE, "down")

        override suspend fun read(key: RowKey): Either<Failure, Row?> = down.left()

        override suspend fun scan(table: String, prefix: String): Either<Failure, List<Row>> =
            down.left()

        override suspend fun compareAndSet(key: RowKey, expected: Long, value: String) =
            WriteResult.Undecided(down)

        override suspend fun compareAndDelete(key: RowKey, expected: Long) =
            WriteResult.Undecided(down)
    }
}
