package org.hyssoprack.serving.sharing

import java.util.TreeMap
import kotlin.math.floor

/**
 * Assigns the times at which refused callers of one service should return, by the rate at which its
 * slots become free, and recognises them when they do. It addresses overloads in which callers that
 * are refused together return together, and are refused again among new requests. A time is a
 * prediction only: no slot is kept free for it.
 */
class ReturnCalendar {
    private val slices = TreeMap<Long, ReturnSlice>()

    /**
     * Assigns a time to a refused caller. Returns it in milliseconds from [nowMs], or null if no
     * slot is predicted to be free for the caller.
     *
     * @param earliestMs shortest delay.
     * @param latestMs longest delay that the caller honours.
     * @param grantsPerMs rate at which slots become free.
     */
    fun book(
        key: ReturnKey,
        nowMs: Long,
        earliestMs: Long,
        latestMs: Long,
        grantsPerMs: Double
    ): Long? {
        removePast(nowMs)
        val perSlice = grantsPerMs * SLICE_MS * RETURN_SHARE
        if (perSlice <= 0) return null
        val first = Math.floorDiv(nowMs + earliestMs + SLICE_MS - 1, SLICE_MS)
        val last = Math.floorDiv(nowMs + latestMs, SLICE_MS)
        for (index in first..last) {
            val capacity = capacity(index, perSlice)
            val counted = slices[index]?.countedFor(key) ?: 0
            if (counted >= capacity) continue
            val withinMs = (index * SLICE_MS) + SLICE_MS * counted / capacity
            val atMs = minOf(withinMs, nowMs + latestMs)
            slices.getOrPut(index) { ReturnSlice() }.book(key, atMs)
            return atMs - nowMs
        }
        return null
    }

    /** Returns whether a caller with [key] was to return about now; the ticket is used up. */
    fun redeem(key: ReturnKey, nowMs: Long): Boolean {
        removePast(nowMs)
        val range = nowMs - LATE_MS..nowMs
        val last = Math.floorDiv(nowMs, SLICE_MS)
        return slices.headMap(last, true).values.any { it.redeem(key, range) }
    }

    /**
     * Returns the callers that are expected, with their times from [nowMs]; the first ones if there
     * are very many.
     */
    fun expected(nowMs: Long): List<ExpectedReturns> {
        removePast(nowMs)
        return slices.values.flatMap { slice ->
            slice.outstanding.map { (key, times) ->
                ExpectedReturns(key, inMs = times.first() - nowMs, count = times.size)
            }
        }.take(MAX_EXPECTED)
    }

    /** Adds the callers that a previous owner [expected]. */
    fun inherit(expected: List<ExpectedReturns>, nowMs: Long) = expected.forEach {
        if (it.inMs > MAX_INHERITED_MS) return@forEach
        val atMs = nowMs + it.inMs
        val slice = slices.getOrPut(Math.floorDiv(atMs, SLICE_MS)) { ReturnSlice() }
        repeat(minOf(it.count, MAX_EXPECTED)) { _ -> slice.book(it.key, atMs) }
    }

    // The whole part of the sum up to a slice less that up to the one before, so that rates below
    // one caller in a slice get some slices.
    private fun capacity(index: Long, perSlice: Double): Int =
        (floor((index + 1) * perSlice) - floor(index * perSlice)).toInt()

    private fun removePast(nowMs: Long) =
        slices.headMap(Math.floorDiv(nowMs - LATE_MS, SLICE_MS), false).clear()

    private companion object {
        // Shorter than the time by which callers and links spread returns.
        const val SLICE_MS = 100L

        // A returning caller is late for most targets and takes the place of a new request that can
        // be on time. With 0.5, 33% of the requests of a rank were on time in bursts, of 42% that
        // are required.
        const val RETURN_SHARE = 0.1

        // The refusal and the new request pass two hosts and two links each, so none returns
        // early. In a longer time, more new requests are taken for returns.
        const val LATE_MS = 300L

        // Bounds the messages in which the calendar is handed over, to some ten kilobytes.
        const val MAX_EXPECTED = 200

        // Longest delay that a caller honours at the longest deadlines, with a margin.
        const val MAX_INHERITED_MS = 60_000L
    }
}
