package org.hyssoprack.serving.settings

import org.hyssoprack.common.Clock

/**
 * The settings in force on this host and how long ago they were known to be the newest.
 *
 * A request that carries a key must not run once the key may have been taken away, so the host
 * fails closed when the settings are not confirmed for [maxAgeMs].
 */
class ActiveSettings(private val clock: Clock, private val maxAgeMs: () -> Long) {
    /** The settings in force; null before the first are read. */
    var current: ServingSettings? = null
        private set

    private var confirmed: ClockReading? = null

    /** Puts [settings] in force unless they are older than those in force. */
    fun accept(settings: ServingSettings): Boolean {
        val held = current
        if (held != null && settings.version <= held.version) return false
        current = settings
        return true
    }

    /** Records that the store had nothing newer at [readStarted] or later. */
    fun confirm(readStarted: ClockReading) {
        val held = confirmed
        if (held == null || readStarted.ageMs(clock) < held.ageMs(clock)) confirmed = readStarted
    }

    /** Time since the settings were last known to be the newest; null if they never were. */
    fun ageMs(): Long? = confirmed?.ageMs(clock)

    /** Whether requests with keys may run. */
    fun isFresh(): Boolean {
        val age = ageMs() ?: return false
        return current != null && age < maxAgeMs()
    }
}
