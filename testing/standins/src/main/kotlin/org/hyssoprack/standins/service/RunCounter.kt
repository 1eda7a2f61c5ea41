package org.hyssoprack.standins.service

import java.util.concurrent.ConcurrentHashMap

/** Counts how often each call ran. */
internal class RunCounter {
    private val counts = ConcurrentHashMap<ServiceRun, Int>()

    /** Counts one run of a call; returns how often it has run by now. */
    fun count(run: ServiceRun): Int = counts.merge(run.copy(count = 0), 1, Int::plus) ?: 1

    /** All calls that ran. */
    fun runs(): List<ServiceRun> = counts.map { it.key.copy(count = it.value) }
}
