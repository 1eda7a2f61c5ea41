package org.hyssoprack.store

import arrow.core.Either
import org.hyssoprack.common.Failure

/** The platform's transactional table service. All calls have a time limit. */
interface TableService {
    /** Reads the row; null if there is none. Fails with STORE_UNAVAILABLE or STORE_LIMITED. */
    suspend fun read(key: RowKey): Either<Failure, Row?>

    /** Reads all rows of [table] whose key starts with [prefix], sorted by key. */
    suspend fun scan(table: String, prefix: String): Either<Failure, List<Row>>

    /**
     * Writes [value] if the row's revision is [expected]; 0 means that the row must not exist.
     */
    suspend fun compareAndSet(key: RowKey, expected: Long, value: String): WriteResult

    /** Deletes the row if its revision is [expected]. */
    suspend fun compareAndDelete(key: RowKey, expected: Long): WriteResult
}
