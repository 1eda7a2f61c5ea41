package org.hyssoprack.store.http

import arrow.core.Either
import arrow.core.flatMap
import kotlinx.serialization.encodeToString
import org.hyssoprack.common.Failure
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/** [TableService] over HTTP. Writes are sent once and never retried. */
class HttpTableService(private val connection: PlatformServiceClient) : TableService {
    override suspend fun read(key: RowKey): Either<Failure, Row?> =
        connection.post(PlatformPath.TABLE_READ, body = PlatformJson.encodeToString(key))
            .answer()
            .flatMap { it.decode(RowReply.serializer()) }
            .map { it.row }

    override suspend fun scan(table: String, prefix: String): Either<Failure, List<Row>> {
        val request = ScanRequest(table = table, prefix = prefix)
        return connection.post(PlatformPath.TABLE_SCAN, PlatformJson.encodeToString(request))
            .answer()
            .flatMap { it.decode(RowsReply.serializer()) }
            .map { it.rows }
    }

    override suspend fun compareAndSet(key: RowKey, expected: Long, value: String) =
        write(TableWrite(key = key, expected = expected, value = value))

    override suspend fun compareAndDelete(key: RowKey, expected: Long) =
        write(TableWrite(key = key, expected = expected, value = null))

    private suspend fun write(write: TableWrite): WriteResult {
        val body = PlatformJson.encodeToString(write)
        return when (val reply = connection.post(PlatformPath.TABLE_WRITE, body)) {
            is StoreReply.NotSent -> WriteResult.Refused(reply.failure)
            is StoreReply.NoAnswer -> WriteResult.Undecided(reply.failure)
            is StoreReply.Answered -> result(reply)
        }
    }

    private fun result(reply: StoreReply.Answered): WriteResult = when (reply.status) {
        StoreStatus.OK -> reply.decode(RowReply.serializer()).fold(
            ifLeft = { WriteResult.Undecided(it) },
            ifRight = { applied(it, reply) }
        )
        StoreStatus.CONFLICT -> reply.decode(RowReply.serializer()).fold(
            ifLeft = { WriteResult.Undecided(it) },
            ifRight = { WriteResult.Conflict(it.row) }
        )
        StoreStatus.LIMITED, StoreStatus.UNAVAILABLE -> WriteResult.Refused(reply.failure())
        else -> WriteResult.Undecided(reply.failure())
    }

    private fun applied(body: RowReply, reply: StoreReply.Answered): WriteResult {
        val row = body.row ?: return WriteResult.Undecided(reply.failure())
        return WriteResult.Applied(row)
    }
}
