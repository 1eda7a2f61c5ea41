package org.hyssoprack.serving.limits

/**
 * An account's usage as recorded in the store before this host started.
 *
 * @property ageMs time since the record was written, in milliseconds.
 * @property isOutdated whether the store was restored from an older copy since, which may have lost
 *   later records.
 */
data class RecordedUsage(
    val slices: List<UsageSlice>,
    val ageMs: Long,
    val isOutdated: Boolean = false
)
