package org.hyssoprack.orders

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FencingNumber
import org.hyssoprack.common.HostRef
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey

/**
 * JSON body of the row that records which host holds the order lease of a backend server.
 *
 * @property leaseId unique among all leases.
 * @property released whether the holder released the lease before it expired.
 */
@Serializable
internal data class LeaseRow(
    val leaseId: String,
    val holder: HostRef,
    val fencing: FencingNumber,
    val released: Boolean = false
) {
    fun toJson(): String = json.encodeToString(this)

    companion object {
        private const val TABLE = "order-leases"
        private val json = Json { encodeDefaults = true }

        fun keyOf(server: BackendServerId) = RowKey(table = TABLE, key = server.value)

        /** Decodes the body of [row]; returns null if it is malformed. */
        fun of(row: Row): LeaseRow? = try {
            json.decodeFromString<LeaseRow>(row.value)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}
