package org.hyssoprack.bench.capacity

/** Counts sent messages and bytes by message type. */
internal class MessageTraffic {
    private val counts = HashMap<String, Long>()
    private val sums = HashMap<String, Long>()

    val messages: Long get() = counts.values.sum()
    val bytes: Long get() = sums.values.sum()

    fun add(type: String, size: Int) {
        counts.merge(type, 1, Long::plus)
        sums.merge(type, size.toLong(), Long::plus)
    }

    fun bytesOf(type: String): Long = sums[type] ?: 0

    /** Returns the types of all messages sent. */
    fun types(): Set<String> = sums.keys.toSet()

    fun countOf(type: String): Long = counts[type] ?: 0

    fun clear() {
        counts.clear()
        sums.clear()
    }
}
