package org.hyssoprack.gateway.forwarding

import kotlinx.serialization.Serializable
import org.hyssoprack.serving.limits.UseSlice

/** Row of the store with an account's use; the slices' times are in milliseconds since the epoch. */
@Serializable
data class QuotaRecord(val slices: List<UseSlice>)
