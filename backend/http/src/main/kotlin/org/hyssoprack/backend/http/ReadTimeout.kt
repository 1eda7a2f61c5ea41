package org.hyssoprack.backend.http

import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.common.Clock

/**
 * Cancels a scope when a wait in it lasts too long. Time spent outside of [arm] and [disarm] does
 * not count, so that a slow reader of tokens is not taken for a silent engine.
 */
internal class ReadTimeout(private val clock: Clock, @Volatile private var timeoutMs: Long) {
    private val state = AtomicReference(State.IDLE)

    @Volatile
    private var armedAtMs = 0L

    /** True once a wait lasted too long. */
    val hasFired: Boolean get() = state.get() == State.FIRED

    /** Sets the longest wait from now on. */
    fun allow(timeoutMs: Long) {
        this.timeoutMs = timeoutMs
    }

    /** Begins a wait. */
    fun arm() {
        armedAtMs = clock.nowMs()
        state.compareAndSet(State.IDLE, State.ARMED)
    }

    /** Ends a wait. False if it had lasted too long, so that the scope is being cancelled. */
    fun disarm(): Boolean = state.compareAndSet(State.ARMED, State.IDLE)

    /** Watches [scope] until the returned job is cancelled. */
    fun watch(scope: CoroutineScope): Job = scope.launch {
        while (true) {
            val leftMs = if (state.get() == State.ARMED) leftMs() else timeoutMs
            if (leftMs <= 0 && state.compareAndSet(State.ARMED, State.FIRED)) break
            delay(leftMs.coerceIn(1, MAX_SLEEP_MS))
        }
        scope.cancel()
    }

    private fun leftMs(): Long = armedAtMs + timeoutMs - clock.nowMs()

    private enum class State { IDLE, ARMED, FIRED }

    private companion object {
        const val MAX_SLEEP_MS = 250L
    }
}
