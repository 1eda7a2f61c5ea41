package org.hyssoprack.integration.schedule

import kotlin.random.Random

/** A random sequence of faults, one or two at a time; the same seed gives the same sequence. */
class FaultSchedule(seed: Long) {
    private val random = Random(seed)
    private val left = ArrayList<FaultKind>()

    /** The next step. Every kind comes once before any comes again. */
    fun next(): FaultStep {
        val kinds = ArrayList<FaultKind>()
        kinds += draw()
        if (random.nextInt(PAIR_EVERY) == 0) kinds += draw()
        return FaultStep(
            kinds = kinds.distinct(),
            holdMs = random.nextLong(MIN_HOLD_MS, MAX_HOLD_MS),
            pauseMs = random.nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS)
        )
    }

    private fun draw(): FaultKind {
        if (left.isEmpty()) left += FaultKind.entries.shuffled(random)
        return left.removeAt(left.lastIndex)
    }

    private companion object {
        const val PAIR_EVERY = 3
        const val MIN_HOLD_MS = 500L
        const val MAX_HOLD_MS = 2_500L
        const val MIN_PAUSE_MS = 200L
        const val MAX_PAUSE_MS = 1_000L
    }
}
