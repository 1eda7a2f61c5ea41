package org.hyssoprack.examples.embedding

import arrow.core.Either
import arrow.core.right
import org.hyssoprack.common.Failure
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/** In-memory table service that replaces the table service of the platform. */
class MemoryTable : TableService {
    private val rows = LinkedHashMap<RowKey, Row>()

    override suspend fun read(key: RowKey): Either<Failure, Row?> =
        synchronized(rows) { rows[key] }.right()

    override suspend fun scan(table: String, prefix: String): Either<Failure, List<Row>> {
        val found = synchronized(rows) { rows.values.toList() }
        return found.filter { it.key.table == table && it.key.key.startsWith(prefix) }
            .sortedBy { it.key.key }
            .right()
    }

    override suspend fun compareAndSet(key: RowKey, expected: Long, value: String): WriteResult =
        synchronized(rows) {
            val current = rows[key]
            if ((current?.revision ?: 0) != expected) return WriteResult.Conflict(current)
            val row = Row(key = key, revision = expected + 1, value = value)
            rows[key] = row
            WriteResult.Applied(row)
        }

    override suspend fun compareAndDelete(key: RowKey, expected: Long): WriteResult =
        synchronized(rows) {
            val current = rows[key]
            if (current?.revision != expected) return WriteResult.Conflict(current)
            rows.remove(key)
            WriteResult.Applied(current)
        }
}
