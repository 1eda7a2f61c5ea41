package org.hyssoprack.claims

import kotlin.random.Random
import kotlinx.coroutines.CompletableDeferred

/** Pauses tasks at given points; the test resumes one of them at a time, chosen at random. */
internal class Interleaver(private val random: Random) {
    private val waiting = ArrayList<CompletableDeferred<Unit>>()

    suspend fun pause() {
        val gate = CompletableDeferred<Unit>()
        waiting.add(gate)
        gate.await()
    }

    /** Resumes one paused task; returns false if there is none. */
    fun step(): Boolean {
        if (waiting.isEmpty()) return false
        waiting.removeAt(random.nextInt(waiting.size)).complete(Unit)
        return true
    }
}
