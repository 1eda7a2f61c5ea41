package org.hyssoprack.claims

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.hyssoprack.common.HostRef
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey

/** JSON body of a claim's row in the table service; [attempt] is unique among all attempts. */
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

        /** Returns the row key of [key], which no other claim key shares. */
        fun keyOf(key: ClaimKey): RowKey {
            val account = key.account.value
            return RowKey(table = TABLE, key = "${account.length}/$account/${key.key}")
        }

        /** Decodes the body of [row]; returns null if it is malformed. */
        fun of(row: Row): ClaimRow? = try {
            json.decodeFromString<ClaimRow>(row.value)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}
