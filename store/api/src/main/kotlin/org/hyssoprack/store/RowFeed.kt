package org.hyssoprack.store

import arrow.core.Either
import org.hyssoprack.common.Failure

/** Reads one table of the platform's store and follows its changes. */
interface RowFeed {
    /** All rows as of one moment. */
    suspend fun read(): Either<Failure, RowSnapshot>

    /**
     * Changes since [revision], as soon as there is one and after [waitMs] at the latest. Fails with
     * HISTORY_LOST if the store has forgotten them, so that the table must be read again.
     */
    suspend fun changes(revision: Long, waitMs: Long): Either<Failure, RowChanges>
}
