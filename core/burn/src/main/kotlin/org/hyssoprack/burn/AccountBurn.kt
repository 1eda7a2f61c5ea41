package org.hyssoprack.burn

import kotlinx.serialization.Serializable

/** Counts of one client account in one tier over one window. */
@Serializable
data class AccountBurn(val key: BurnKey, val window: BurnWindow, val counts: SloOutcomeCounts)
