package org.hyssoprack.standins.service

import java.util.concurrent.ConcurrentHashMap

/** Counts how often each call ran. */
internal class RunCounter {
    private val counts = ConcurrentHashMap<ServiceRun, Int>()

    /** Counts one run of a call and returns its number of runs so far. */
    fun count(run: ServiceRun): Int = counts.merge(run.copy(count = 0), 1, Int::plus) ?: 1

    /** Returns all calls that ran, with their counts. */
    fun runs(): List<ServiceRun> = counts.map { it.key.copy(count = it.value) }
}
