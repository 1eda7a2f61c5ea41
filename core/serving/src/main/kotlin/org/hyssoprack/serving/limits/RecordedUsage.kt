package org.hyssoprack.serving.limits

/**
 * An account's use as a host had recorded it before this one started.
 *
 * @property ageMs time since the record was written.
 */
data class RecordedUsage(val slices: List<UsageSlice>, val ageMs: Long)
