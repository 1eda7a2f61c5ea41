package org.hyssoprack.store

import org.hyssoprack.common.Failure

/** Outcome of a write to the table service. */
sealed interface WriteResult {
    /** The write took effect. */
    data class Applied(val row: Row) : WriteResult

    /** The write did not take effect because the row's revision is not the expected one. */
    data class Conflict(val current: Row?) : WriteResult

    /** The write certainly did not take effect: it was refused or never sent. */
    data class Refused(val failure: Failure) : WriteResult

    /** The reply was lost; the write may take effect now, later or never. */
    data class Undecided(val failure: Failure) : WriteResult
}
