package org.hyssoprack.backend.http

import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.common.Clock

/**
 * Cancels a scope if a read in it exceeds the timeout. Time outside of [arm] and [disarm] does not
 * count, so that a slow consumer of tokens is not mistaken for an unresponsive engine.
 */
internal class ReadTimeout(private val clock: Clock, @Volatile private var timeoutMs: Long) {
    private val state = AtomicReference(State.IDLE)

    @Volatile
    private var armedAtMs = 0L

    /** Whether the timeout has expired. */
    val hasExpired: Boolean get() = state.get() == State.EXPIRED

    /** Sets the timeout of later reads. */
    fun setTimeout(timeoutMs: Long) {
        this.timeoutMs = timeoutMs
    }

    /** Starts the timeout before a read. */
    fun arm() {
        armedAtMs = clock.nowMs()
        state.compareAndSet(State.IDLE, State.ARMED)
    }

    /** Stops the timeout after a read. Returns false if it has expired and cancels the scope. */
    fun disarm(): Boolean = state.compareAndSet(State.ARMED, State.IDLE)

    /** Monitors [scope] until the returned job is cancelled. */
    fun monitor(scope: CoroutineScope): Job = scope.launch {
        while (true) {
            val leftMs = if (state.get() == State.ARMED) leftMs() else timeoutMs
            if (leftMs <= 0 && state.compareAndSet(State.ARMED, State.EXPIRED)) break
            delay(leftMs.coerceIn(1, MAX_SLEEP_MS))
        }
        scope.cancel()
    }

    private fun leftMs(): Long = armedAtMs + timeoutMs - clock.nowMs()

    private enum class State { IDLE, ARMED, EXPIRED }

    private companion object {
        const val MAX_SLEEP_MS = 250L
    }
}
