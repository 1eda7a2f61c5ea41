package org.hyssoprack.settings

import arrow.core.Either
import arrow.core.raise.either
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.Failure
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/**
 * Table rows of previously accepted bundles. The row of a version is written before the accepted
 * row is overwritten with the next version, so each version is in the accepted row or in the
 * history.
 */
internal class BundleHistory(private val table: TableService, private val writer: RowWriter) {
    /** Ensures that [bundle] has a history row, and deletes the row that exceeds [MAX_ROWS]. */
    suspend fun keep(bundle: AcceptedBundle): Either<Failure, Unit> = either {
        val key = BundleRows.history(bundle.version)
        when (val result = writer.write(key, 0, BundleRows.encode(bundle)) { true }) {
            is WriteResult.Refused -> raise(result.failure)
            is WriteResult.Undecided -> raise(result.failure)
            is WriteResult.Applied, is WriteResult.Conflict -> Unit
        }
        deleteExcessRow(bundle.version)
    }

    private suspend fun deleteExcessRow(version: BundleVersion) {
        val oldest = BundleVersion(version.value - MAX_ROWS)
        if (oldest <= BundleVersion.NONE) return
        // History rows are written once, so their revision is 1. A row that remains because the
        // delete failed is harmless.
        table.compareAndDelete(BundleRows.history(oldest), expected = 1)
    }

    /** Returns the bundle with [version], given the [current] one; null if there is none. */
    suspend fun version(
        version: BundleVersion,
        current: AcceptedBundle?
    ): Either<Failure, AcceptedBundle?> = either {
        if (current == null || version > current.version) return@either null
        if (version == current.version) return@either current
        table.read(BundleRows.history(version)).bind()
            ?.let { BundleRows.accepted(it).bind() }
    }

    /** Returns [current] and all earlier versions that have a row, newest first. */
    suspend fun upTo(current: AcceptedBundle): Either<Failure, List<AcceptedBundle>> = either {
        val rows = table.scan(BundleRows.HISTORY_TABLE, prefix = "").bind()
        val former = rows.map { BundleRows.accepted(it).bind() }.filter {
            it.version <
                current.version
        }
        listOf(current) + former.sortedByDescending { it.version }
    }

    private companion object {
        const val MAX_ROWS = 1_000L
    }
}
