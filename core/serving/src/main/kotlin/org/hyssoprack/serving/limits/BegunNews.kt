package org.hyssoprack.serving.limits

/** First events that clear parts which the slot owner suspects. */
internal class BegunNews {
    private val begunMs = LinkedHashMap<PartKey, Long>()

    /** Whether parts were added since the last call of [take]. */
    var isNew = false
        private set

    /** Adds a first event at [ms]. */
    fun add(key: PartKey, ms: Long) {
        if (begunMs.put(key, ms) == null) isNew = true
        if (begunMs.size > MAX_PARTS) begunMs.remove(begunMs.keys.first())
    }

    fun take(nowMs: Long): List<PartBegun> {
        isNew = false
        return begunMs.map { (key, ms) ->
            PartBegun(key.service, key.version, key.part, ageMs = nowMs - ms)
        }
    }

    /** Drops the parts of which the [list] of the slot owner shows that it knows enough. */
    fun confirm(list: List<SuspectPart>, nowMs: Long) {
        val listed = list.associateBy { it.key }
        begunMs.entries.removeIf { (key, ms) ->
            val record = listed[key]
            record == null || record.hasBegun && ms <= nowMs - record.lastAgeMs
        }
    }

    private companion object {
        const val MAX_PARTS = 512
    }
}
