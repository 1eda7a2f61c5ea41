package org.hyssoprack.standins.engine

import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.channels.Channel

/** One request on an emulated engine. All but [progress] belongs to the engine's task. */
internal class EngineRun(
    val id: String,
    val marker: String,
    val promptTokens: Int,
    val maxTokens: Int,
    val arrivedAtMs: Long,
    val prefixHash: Long = 0,
    val cacheKeys: LongArray = LongArray(0),
    var prefilledTokens: Int = 0,
    produced: Int = 0,
    state: RunState = RunState.QUEUED
) {
    private val watchers = CopyOnWriteArrayList<Channel<Unit>>()

    /** Stage and number of tokens, for the streams. */
    @Volatile
    var progress = RunProgress(state = state, produced = produced)
        private set
    var cachedTokens = 0
    var attachedStreams = 0
    var detachedAtMs: Long? = null
    var endedAtMs = 0L
    val state: RunState get() = progress.state
    val produced: Int get() = progress.produced
    val prefillLeft: Int get() = promptTokens - cachedTokens - prefilledTokens

    /** A channel that gets an element after each change of [progress], conflated. */
    fun watch(): Channel<Unit> = Channel<Unit>(Channel.CONFLATED).also(watchers::add)

    /** Ends the use of a channel of [watch]. */
    fun unwatch(channel: Channel<Unit>) {
        watchers.remove(channel)
    }

    /** Moves to [state]. */
    fun enter(state: RunState) = change(progress.copy(state = state))

    /** Adds one token. */
    fun produce() = change(progress.copy(state = RunState.DECODE, produced = progress.produced + 1))

    /** Ends the request. */
    fun end(reason: EndReason) = change(progress.copy(state = RunState.ENDED, endReason = reason))

    private fun change(next: RunProgress) {
        progress = next
        watchers.forEach { it.trySend(Unit) }
    }
}
