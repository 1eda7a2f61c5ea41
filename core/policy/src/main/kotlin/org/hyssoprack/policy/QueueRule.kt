package org.hyssoprack.policy

/** How a pool orders waiting requests. [ARRIVAL] ignores tiers and is a baseline for comparison. */
enum class QueueRule { TIERED, ARRIVAL }
