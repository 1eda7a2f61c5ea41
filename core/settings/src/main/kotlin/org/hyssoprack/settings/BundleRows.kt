package org.hyssoprack.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey

/** Keys and encoding of the table service rows for bundles. */
object BundleRows {
    /** Key of the row that references the accepted bundle. */
    val ACCEPTED = RowKey(table = "bundles", key = "accepted")

    /** Table of bundles that were accepted before the one in [ACCEPTED]. */
    const val HISTORY_TABLE = "bundle-history"

    private const val VERSION_DIGITS = 12
    private val json = Json { ignoreUnknownKeys = true }

    /** Key of the row of the proposal with this hash. */
    fun proposal(hash: ContentHash) = RowKey(table = "bundle-proposals", key = hash.value)

    /** Key of the history row of a previously accepted version. */
    fun history(version: BundleVersion) = RowKey(
        table = HISTORY_TABLE,
        key = version.value.toString().padStart(VERSION_DIGITS, '0')
    )

    internal fun encode(bundle: AcceptedBundle): String =
        json.encodeToString(AcceptedBundle.serializer(), bundle)

    internal fun encode(proposal: Proposal): String =
        json.encodeToString(Proposal.serializer(), proposal)

    internal fun accepted(row: Row): Either<Failure, AcceptedBundle> =
        decode(row, AcceptedBundle.serializer())

    internal fun proposal(row: Row): Either<Failure, Proposal> = decode(row, Proposal.serializer())

    private fun <T> decode(row: Row, serializer: KSerializer<T>): Either<Failure, T> = try {
        json.decodeFromString(serializer, row.value).right()
    } catch (e: SerializationException) {
        val detail = "row ${row.key.table}/${row.key.key} cannot be decoded: ${e.message}"
        Failure(ResultCode.INTERNAL, detail).left()
    }
}
