package org.hyssoprack.serving.limits

/**
 * An account's usage as recorded in the store before this host started.
 *
 * @property ageMs time since the record was written, in milliseconds.
 */
data class RecordedUsage(val slices: List<UsageSlice>, val ageMs: Long)
