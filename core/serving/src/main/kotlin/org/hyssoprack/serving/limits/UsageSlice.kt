package org.hyssoprack.serving.limits

import kotlinx.serialization.Serializable

/** Usage in the slice of a sliding window that starts at [startMs]. */
@Serializable
data class UsageSlice(val startMs: Long, val amount: Double)
