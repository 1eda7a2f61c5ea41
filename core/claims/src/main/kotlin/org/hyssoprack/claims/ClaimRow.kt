package org.hyssoprack.claims

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.hyssoprack.common.HostRef
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey

/** Body of a claim's row in the table service; [attempt] is unique among all attempts. */
@Serializable
internal data class ClaimRow(
    val attempt: String,
    val holder: HostRef,
    val bodyHash: String,
    val state: ClaimState,
    val outcome: RecordedOutcome? = null
) {
    fun toJson(): String = json.encodeToString(this)

    companion object {
        private const val TABLE = "claims"
        private val json = Json { ignoreUnknownKeys = true }

        /** The row of [key]; no two keys share a row. */
        fun keyOf(key: ClaimKey): RowKey {
            val account = key.account.value
            return RowKey(table = TABLE, key = "${account.length}/$account/${key.key}")
        }

        /** Reads the body of [row]; null if it is not of this form. */
        fun of(row: Row): ClaimRow? = try {
            json.decodeFromString<ClaimRow>(row.value)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}
