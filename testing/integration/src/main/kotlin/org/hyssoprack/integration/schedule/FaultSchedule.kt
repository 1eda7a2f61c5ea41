package org.hyssoprack.integration.schedule

import kotlin.random.Random

/** Random sequence of one or two faults at a time; the same seed gives the same sequence. */
class FaultSchedule(seed: Long) {
    private val random = Random(seed)
    private val remaining = ArrayList<FaultKind>()

    /** Returns the next step. Each kind is drawn once before any kind is drawn again. */
    fun next(): FaultStep {
        val kinds = ArrayList<FaultKind>()
        kinds += draw()
        if (random.nextInt(STEPS_PER_PAIR) == 0) kinds += draw()
        return FaultStep(
            kinds = kinds.distinct(),
            holdMs = random.nextLong(MIN_HOLD_MS, MAX_HOLD_MS),
            pauseMs = random.nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS)
        )
    }

    private fun draw(): FaultKind {
        if (remaining.isEmpty()) remaining += FaultKind.entries.shuffled(random)
        return remaining.removeAt(remaining.lastIndex)
    }

    private companion object {
        const val STEPS_PER_PAIR = 3
        const val MIN_HOLD_MS = 500L
        const val MAX_HOLD_MS = 2_500L
        const val MIN_PAUSE_MS = 200L
        const val MAX_PAUSE_MS = 1_000L
    }
}
