package org.hyssoprack.rollout

/** The published state of the roll-out to version [to]. */
data class RolloutStatus(val state: RolloutState, val to: String)
