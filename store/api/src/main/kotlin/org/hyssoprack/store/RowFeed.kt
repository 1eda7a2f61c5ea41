package org.hyssoprack.store

import arrow.core.Either
import org.hyssoprack.common.Failure

/** Reads one table of the platform's store and follows its changes. */
interface RowFeed {
    /** Reads a snapshot of all rows. */
    suspend fun read(): Either<Failure, RowSnapshot>

    /**
     * Returns the changes since [position] as soon as there are any, after [waitMs] at the latest.
     * Fails with HISTORY_LOST if the store no longer has them; the table must then be read again,
     * as it must if the returned position is of another era.
     */
    suspend fun changes(position: StorePosition, waitMs: Long): Either<Failure, RowChanges>
}
