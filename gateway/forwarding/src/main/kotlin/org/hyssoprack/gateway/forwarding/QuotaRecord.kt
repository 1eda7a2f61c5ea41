package org.hyssoprack.gateway.forwarding

import kotlinx.serialization.Serializable
import org.hyssoprack.serving.limits.UsageSlice

/**
 * Row of the store with an account's use; times are in milliseconds since the epoch.
 *
 * @property writtenMs when it was written; 0 in rows of older versions.
 */
@Serializable
data class QuotaRecord(val slices: List<UsageSlice>, val writtenMs: Long = 0)
