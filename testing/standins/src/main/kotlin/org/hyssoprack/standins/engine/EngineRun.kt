package org.hyssoprack.standins.engine

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow

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
    private val mutableProgress = MutableStateFlow(RunProgress(state = state, produced = produced))

    /** Stage and number of tokens, for the streams. */
    val progress: StateFlow<RunProgress> = mutableProgress
    var cachedTokens = 0
    var attachedStreams = 0
    var detachedAtMs: Long? = null
    var endedAtMs = 0L
    val state: RunState get() = mutableProgress.value.state
    val produced: Int get() = mutableProgress.value.produced
    val isActive: Boolean get() = state == RunState.PREFILL || state == RunState.DECODE
    val prefillLeft: Int get() = promptTokens - cachedTokens - prefilledTokens

    /** Moves to [state]. */
    fun enter(state: RunState) {
        mutableProgress.value = mutableProgress.value.copy(state = state)
    }

    /** Adds one token. */
    fun produce() {
        val now = mutableProgress.value
        mutableProgress.value = now.copy(state = RunState.DECODE, produced = now.produced + 1)
    }

    /** Ends the request. */
    fun end(reason: EndReason) {
        val now = mutableProgress.value
        mutableProgress.value = now.copy(state = RunState.ENDED, endReason = reason)
    }
}
