package org.hyssoprack.standins.engine

import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.channels.Channel

/**
 * One request on an emulated engine. Mutable state other than [progress] is confined to the
 * dispatcher of the engine.
 */
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
    private val subscribers = CopyOnWriteArrayList<Channel<Unit>>()

    /** State and number of tokens, read by the streams. */
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

    /** Returns a conflated channel that gets an element after each change of [progress]. */
    fun subscribe(): Channel<Unit> = Channel<Unit>(Channel.CONFLATED).also(subscribers::add)

    /** Removes a channel returned by [subscribe]. */
    fun unsubscribe(channel: Channel<Unit>) {
        subscribers.remove(channel)
    }

    fun transitionTo(state: RunState) = update(progress.copy(state = state))

    /** Counts one generated token. */
    fun produce() = update(progress.copy(state = RunState.DECODE, produced = progress.produced + 1))

    /** Ends the request. */
    fun end(reason: EndReason) = update(progress.copy(state = RunState.ENDED, endReason = reason))

    private fun update(next: RunProgress) {
        progress = next
        subscribers.forEach { it.trySend(Unit) }
    }
}
