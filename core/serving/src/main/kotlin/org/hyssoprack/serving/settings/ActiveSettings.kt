package org.hyssoprack.serving.settings

import org.hyssoprack.common.Clock

/**
 * The settings in force on this host, and when they were last confirmed to be the newest.
 *
 * A request that carries a key must not run once the key may have been revoked, so the host fails
 * closed when the settings have not been confirmed for [maxAgeMs].
 */
class ActiveSettings(private val clock: Clock, private val maxAgeMs: () -> Long) {
    /** The settings in force; null before the first are read. */
    var current: ServingSettings? = null
        private set

    private var confirmed: ClockReading? = null

    /**
     * Puts [settings] in force unless they are older than those in force. Returns whether they are
     * in force now. A version may be written again with another content after the store was
     * restored from a copy that lacks it; an older version is one that the copy has.
     */
    fun accept(settings: ServingSettings): Boolean {
        val active = current
        if (active != null && settings.version < active.version) return false
        current = settings
        return true
    }

    /** Records that the store had no newer settings at [readStarted] or later. */
    fun confirm(readStarted: ClockReading) {
        val previous = confirmed
        if (previous == null ||
            readStarted.ageMs(clock) < previous.ageMs(clock)
        ) {
            confirmed = readStarted
        }
    }

    /**
     * Returns the time since the settings were last confirmed, in milliseconds; null if they never
     * were.
     */
    fun ageMs(): Long? = confirmed?.ageMs(clock)

    /** Returns whether the settings are recent enough to run requests with keys. */
    fun isFresh(): Boolean {
        val age = ageMs() ?: return false
        return current != null && age < maxAgeMs()
    }
}
