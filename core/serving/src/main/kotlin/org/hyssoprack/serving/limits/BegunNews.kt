package org.hyssoprack.serving.limits

/** First events that clear parts which the slot owner or the peers suspect. */
internal class BegunNews {
    private val begunMs = LinkedHashMap<PartKey, Long>()
    private val newForPeers = HashSet<PartKey>()

    /** Whether parts were added since the last call of [take]. */
    var isNew = false
        private set

    /** Adds a first event at [ms]. */
    fun add(key: PartKey, ms: Long) {
        if (begunMs.put(key, ms) == null) isNew = true
        newForPeers += key
        if (begunMs.size > MAX_PARTS) drop(begunMs.keys.first())
    }

    operator fun contains(key: PartKey): Boolean = key in begunMs

    fun take(nowMs: Long): List<PartBegun> {
        isNew = false
        return begunMs.map { (key, ms) -> partBegun(key, ms, nowMs) }
    }

    /** Returns the first events that were added since the last call. */
    fun takeForPeers(nowMs: Long): List<PartBegun> {
        val taken = newForPeers.mapNotNull { key ->
            begunMs[key]?.let { partBegun(key, it, nowMs) }
        }
        newForPeers.clear()
        return taken
    }

    /** Drops the parts of which the [list] of the slot owner shows that it knows enough. */
    fun confirm(list: List<SuspectPart>, nowMs: Long) {
        val listed = list.associateBy { it.key }
        begunMs.entries.removeIf { (key, ms) ->
            val record = listed[key]
            record == null || record.hasBegun && ms <= nowMs - record.lastAgeMs
        }
        newForPeers.retainAll(begunMs.keys)
    }

    private fun drop(key: PartKey) {
        begunMs.remove(key)
        newForPeers.remove(key)
    }

    private fun partBegun(key: PartKey, ms: Long, nowMs: Long) =
        PartBegun(key.service, key.version, key.part, ageMs = nowMs - ms)

    private companion object {
        const val MAX_PARTS = 512
    }
}
