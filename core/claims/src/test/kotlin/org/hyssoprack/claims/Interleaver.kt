package org.hyssoprack.claims

import kotlin.random.Random
import kotlinx.coroutines.CompletableDeferred

/** Points at which tasks wait until the test lets one of them go on, chosen at random. */
internal class Interleaver(private val random: Random) {
    private val waiting = ArrayList<CompletableDeferred<Unit>>()

    suspend fun pass() {
        val gate = CompletableDeferred<Unit>()
        waiting.add(gate)
        gate.await()
    }

    /** Lets one task go on; false if none waits. */
    fun step(): Boolean {
        if (waiting.isEmpty()) return false
        waiting.removeAt(random.nextInt(waiting.size)).complete(Unit)
        return true
    }
}
