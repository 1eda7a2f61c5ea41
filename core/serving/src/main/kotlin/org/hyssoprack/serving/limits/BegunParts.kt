package org.hyssoprack.serving.limits

/** Times of the last first event of responses by part, for the parts used last. */
internal class BegunParts {
    private val begunMs = object : LinkedHashMap<PartKey, Long>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<PartKey, Long>) =
            size > MAX_PARTS
    }

    val size: Int get() = begunMs.size

    operator fun contains(key: PartKey): Boolean = key in begunMs

    /** Returns the time of the last first event in milliseconds, or null if none is known. */
    operator fun get(key: PartKey): Long? = begunMs[key]

    fun record(key: PartKey, ms: Long) {
        begunMs.merge(key, ms, ::maxOf)
    }

    internal companion object {
        // Holds the parts of several minutes with thousands of new ones in each.
        const val MAX_PARTS = 65_536
    }
}
