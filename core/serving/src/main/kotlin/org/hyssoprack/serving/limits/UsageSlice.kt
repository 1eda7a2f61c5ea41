package org.hyssoprack.serving.limits

import kotlinx.serialization.Serializable

/** What was used from [startMs] on, for the length of one slice of a window. */
@Serializable
data class UsageSlice(val startMs: Long, val amount: Double)
