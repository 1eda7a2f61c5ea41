package org.hyssoprack.membership

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.serialization.json.Json
import org.hyssoprack.common.BoundedJson
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/** [MemberDirectory] in the table service, with one row per host. */
class TableMemberDirectory(
    private val table: TableService,
    private val log: EventLog = NoOpEventLog
) : MemberDirectory {
    override suspend fun register(self: Member): Either<Failure, Unit> {
        val value = Json.encodeToString(MemberRow.serializer(), MemberRow.of(self))
        return register(self.ref, value, current = null)
    }

    override suspend fun list(): Either<Failure, List<Member>> =
        table.scan(TABLE, prefix = "").map { rows -> rows.mapNotNull { rowOf(it)?.toMember() } }

    override suspend fun remove(dead: HostRef): Either<Failure, Unit> = either {
        val row = table.read(key(dead.host)).bind() ?: return@either
        val ref = rowOf(row)?.ref
        if (ref != null && ref.incarnation > dead.incarnation) return@either
        when (val result = table.compareAndDelete(row.key, row.revision)) {
            is WriteResult.Applied, is WriteResult.Conflict -> Unit
            is WriteResult.Refused -> raise(result.failure)
            is WriteResult.Undecided -> raise(undecided(result.failure))
        }
    }

    private suspend fun register(
        ref: HostRef,
        value: String,
        current: Row?
    ): Either<Failure, Unit> {
        val found = current?.let { rowOf(it)?.ref }
        if (found == ref) return Unit.right()
        if (found != null && found.incarnation > ref.incarnation) return superseded(found).left()
        return when (val result = table.compareAndSet(key(ref.host), revisionOf(current), value)) {
            is WriteResult.Applied -> Unit.right()

            is WriteResult.Conflict ->
                if (result.current == current) {
                    superseded(ref).left()
                } else {
                    register(ref, value, result.current)
                }

            is WriteResult.Refused -> result.failure.left()
            is WriteResult.Undecided -> readBack(ref, result.failure)
        }
    }

    private suspend fun readBack(ref: HostRef, failure: Failure): Either<Failure, Unit> =
        table.read(key(ref.host)).fold(
            { undecided(failure).left() },
            { row ->
                val isOwn = row != null && rowOf(row)?.ref == ref
                if (isOwn) Unit.right() else undecided(failure).left()
            }
        )

    private fun rowOf(row: Row): MemberRow? = BoundedJson.decode(MemberRow.serializer(), row.value)
        .onLeft { log.event("member-row-unreadable", "row" eq row.key.key, "detail" eq it) }
        .getOrNull()

    private fun revisionOf(row: Row?): Long = row?.revision ?: 0

    private fun key(host: HostId): RowKey = RowKey(table = TABLE, key = host.value)

    private fun undecided(failure: Failure): Failure =
        Failure(ResultCode.OUTCOME_UNDECIDED, failure.detail)

    private fun superseded(ref: HostRef): Failure =
        Failure(ResultCode.LEASE_HELD, "host run $ref is already registered")

    private companion object {
        const val TABLE = "members"
    }
}
