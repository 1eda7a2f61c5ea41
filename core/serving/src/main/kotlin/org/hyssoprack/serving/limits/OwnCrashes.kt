package org.hyssoprack.serving.limits

import org.hyssoprack.serving.fleet.ServerInstance

/** Crashes that this host saw and that the slot owner or its peers may not know. */
internal class OwnCrashes {
    private class Entry(val crash: PartCrash, val seenMs: Long) {
        var isTaken = false
        var isTakenForPeers = false
        var unlistedMs: Long? = null
    }

    private val entries = LinkedHashMap<PartCrash, Entry>()

    /** Whether crashes were added since the last call of [take]. */
    var isNew = false
        private set

    /** Adds a crash at [seenMs]. */
    fun add(crash: PartCrash, seenMs: Long) {
        if (entries.putIfAbsent(crash.copy(ageMs = 0), Entry(crash, seenMs)) == null) isNew = true
        if (entries.size > MAX_CRASHES) entries.remove(entries.keys.first())
    }

    /** Returns the crashes with their age at [nowMs], which then count as told once. */
    fun take(nowMs: Long): List<PartCrash> {
        isNew = false
        return entries.values.map {
            it.isTaken = true
            it.crash.copy(ageMs = nowMs - it.seenMs)
        }
    }

    /**
     * Returns the crashes from [sinceMs] on that were not taken for the peers before, with their
     * age at [nowMs].
     */
    fun takeForPeers(sinceMs: Long, nowMs: Long): List<PartCrash> = entries.values
        .filter { !it.isTakenForPeers && it.seenMs >= sinceMs }
        .map {
            it.isTakenForPeers = true
            it.crash.copy(ageMs = nowMs - it.seenMs)
        }

    /** Returns whether [server] crashed and the slot owner may not know that. */
    fun isUnreported(server: ServerInstance): Boolean =
        entries.values.any { it.crash.server == server }

    /** Drops what the slot owner lists, and what it was told and does not list for a time. */
    fun confirm(isListed: (PartCrash) -> Boolean, nowMs: Long) {
        entries.values.removeIf {
            if (it.isTaken && it.unlistedMs == null) it.unlistedMs = nowMs
            isListed(it.crash) || nowMs - (it.unlistedMs ?: nowMs) >= UNLISTED_MS
        }
    }

    /** Records that another slot owner than before is responsible. */
    fun ownerChanged() = entries.values.forEach {
        it.isTaken = false
        it.unlistedMs = null
    }

    fun forgetBefore(oldestMs: Long) {
        entries.values.removeIf { it.seenMs < oldestMs }
    }

    private companion object {
        const val MAX_CRASHES = 256

        // Outlasts a lost report and the next ones.
        const val UNLISTED_MS = 10_000L
    }
}
