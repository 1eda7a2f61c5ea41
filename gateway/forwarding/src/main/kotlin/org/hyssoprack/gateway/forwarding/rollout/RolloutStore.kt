package org.hyssoprack.gateway.forwarding.rollout

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.raise.either
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.hyssoprack.common.BoundedJson
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.ServiceId
import org.hyssoprack.common.eq
import org.hyssoprack.rollout.RolloutOrder
import org.hyssoprack.rollout.RolloutRecord
import org.hyssoprack.rollout.RolloutStatus
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/** Reads and writes the rows of roll-outs in the store. */
internal class RolloutStore(
    private val table: TableService,
    private val rows: RolloutRows,
    private val log: EventLog
) {
    /** The rows of one service's roll-out; null for those that do not exist. */
    class Rows(val order: Row?, val status: Row?, val record: Row?)

    /** Reads all rows. Fails with STORE_UNAVAILABLE or STORE_LIMITED. */
    suspend fun read(service: ServiceId): Either<Failure, Rows> = either {
        Rows(
            order = table.read(rows.orderKey(service)).bind(),
            status = table.read(rows.statusKey(service)).bind(),
            record = table.read(recordKey(service)).bind()
        )
    }

    /** Returns the record in [row]; null if it cannot be read. */
    fun recordOf(row: Row?): RolloutRecord? {
        if (row == null) return null
        return BoundedJson.decode(RolloutRecord.serializer(), row.value).getOrElse {
            log.event("rollout-unreadable", "row" eq row.key.key, "detail" eq it)
            null
        }
    }

    /** Returns the status in [row]; null if it cannot be read. */
    fun statusOf(row: Row?): RolloutStatus? = row?.let { rows.decodeStatus(it.value).getOrNull() }

    /** Returns the order in [row]; null if it cannot be read. */
    fun orderOf(service: ServiceId, row: Row): RolloutOrder? =
        rows.decodeOrder(service, row.value).getOrNull()

    /** Writes the record if its row is at [revision]. */
    suspend fun writeRecord(service: ServiceId, revision: Long, record: RolloutRecord) =
        write(recordKey(service), revision, Json.encodeToString(RolloutRecord.serializer(), record))

    /** Writes the status if its row is at [revision]. */
    suspend fun writeStatus(service: ServiceId, revision: Long, status: RolloutStatus) =
        write(rows.statusKey(service), revision, rows.encodeStatus(status))

    private suspend fun write(key: RowKey, revision: Long, text: String): WriteResult {
        val result = withTimeoutOrNull(WRITE_LIMIT_MS) { table.compareAndSet(key, revision, text) }
            ?: WriteResult.Undecided(Failure(ResultCode.STORE_UNAVAILABLE, "no reply"))
        if (result !is WriteResult.Applied) {
            val fields = arrayOf("table" eq key.table, "row" eq key.key, "revision" eq revision)
            log.event("rollout-write-failed", *fields, "result" eq result)
        }
        return result
    }

    private fun recordKey(service: ServiceId) = RowKey(RECORD_TABLE, service.value)

    private companion object {
        const val RECORD_TABLE = "rollouts"

        // Several writes fit between the decision and the deadline of a short roll-out.
        const val WRITE_LIMIT_MS = 500L
    }
}
