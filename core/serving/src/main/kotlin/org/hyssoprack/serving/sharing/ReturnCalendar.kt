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
            slices.getOrPut(index) { ReturnSlice() }.book(key)
            val withinMs = (index * SLICE_MS) + SLICE_MS * counted / capacity
            return minOf(withinMs - nowMs, latestMs)
        }
        return null
    }

    /** Returns whether a caller with [key] was to return about now; the ticket is used up. */
    fun redeem(key: ReturnKey, nowMs: Long): Boolean {
        removePast(nowMs)
        val last = Math.floorDiv(nowMs + EARLY_MS, SLICE_MS)
        return slices.headMap(last, true).values.any { it.redeem(key) }
    }

    /** Returns the callers that are expected, with their times from [nowMs]. */
    fun expected(nowMs: Long): List<ExpectedReturns> {
        removePast(nowMs)
        return slices.flatMap { (index, slice) ->
            slice.outstanding.map { (key, count) ->
                ExpectedReturns(key, inMs = index * SLICE_MS - nowMs, count = count)
            }
        }
    }

    /** Adds the callers that a previous owner [expected]. */
    fun inherit(expected: List<ExpectedReturns>, nowMs: Long) = expected.forEach {
        if (it.count <= 0 || it.inMs > MAX_INHERITED_MS) return@forEach
        val index = Math.floorDiv(nowMs + it.inMs + SLICE_MS / 2, SLICE_MS)
        slices.getOrPut(index) { ReturnSlice() }.book(it.key, it.count)
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

        // New requests that would find no slot because of returns would only become returns, too.
        const val RETURN_SHARE = 0.5

        // Callers whose timers are inaccurate return somewhat early.
        const val EARLY_MS = 50L

        // The refusal and the new request pass two hosts and two links each.
        const val LATE_MS = 400L

        // Longest delay that a caller honours at the longest deadlines, with a margin.
        const val MAX_INHERITED_MS = 60_000L
    }
}
