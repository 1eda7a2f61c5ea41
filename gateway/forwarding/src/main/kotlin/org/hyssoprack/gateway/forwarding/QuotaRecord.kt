package org.hyssoprack.gateway.forwarding

import kotlinx.serialization.Serializable
import org.hyssoprack.serving.limits.UsageSlice
import org.hyssoprack.store.StoreEra

/**
 * An account's usage as stored in a row; times are in milliseconds since the epoch.
 *
 * @property writtenMs time of the write; 0 in rows written by older versions.
 * @property era era of the store at the write; null if it named none, and in rows written by older
 *   versions.
 */
@Serializable
data class QuotaRecord(
    val slices: List<UsageSlice>,
    val writtenMs: Long = 0,
    val era: StoreEra? = null
)
