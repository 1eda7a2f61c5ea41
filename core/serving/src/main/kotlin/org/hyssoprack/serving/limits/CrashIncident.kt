package org.hyssoprack.serving.limits

import org.hyssoprack.serving.fleet.ServerInstance

/** The crash of one server with the requests that were at it without a first event. */
internal class CrashIncident(val server: ServerInstance, val seenMs: Long) {
    private val requests = LinkedHashSet<List<PartKey>>()

    /** Part that was blocked for this crash. */
    var blocked: PartKey? = null

    /** Whether the crash was not judged, as the slot owner does that. */
    var isUndecided = true

    /** Parts of the requests. */
    val keys: Set<PartKey> get() = allKeys
    private val allKeys = LinkedHashSet<PartKey>()

    /** Adds a request. Returns whether it differs from the others. */
    fun add(request: List<PartKey>): Boolean {
        if (requests.size >= MAX_REQUESTS || !requests.add(request)) return false
        allKeys += request
        return true
    }

    /** Returns the parts of the requests that had [key]. */
    fun partsBeside(key: PartKey): Set<PartKey> =
        requests.filter { key in it }.flatMapTo(HashSet()) { it }

    private companion object {
        const val MAX_REQUESTS = 128
    }
}
