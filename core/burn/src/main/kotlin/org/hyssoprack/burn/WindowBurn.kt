package org.hyssoprack.burn

import kotlinx.serialization.Serializable

/**
 * Use of the error budget over one window.
 *
 * @property rate how many times faster than allowed the error budget is used; 1 uses it up exactly.
 * @property mainCause label of the outcome that used most of the error budget; null if no request
 *   missed the objective.
 */
@Serializable
data class WindowBurn(
    val window: BurnWindow,
    val counts: SloOutcomeCounts,
    val rate: Double,
    val mainCause: String?
)
