package org.hyssoprack.common

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch

/**
 * Runs background tasks that a process cannot do without. A task that throws is logged with its
 * cause and started again after a delay, which doubles with each failure until the task has run for
 * [STABLE_MS].
 *
 * @param onFailure called with the name of a task after each of its failures.
 */
class TaskSupervisor(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val log: EventLog,
    private val onFailure: (String) -> Unit = {}
) {
    /** Starts [task]; it has ended once it returns, or when the scope is cancelled. */
    fun launch(name: String, task: suspend () -> Unit) {
        scope.launch {
            var failures = 0
            while (true) {
                val startMs = clock.nowMs()
                val cause = failureOf(task) ?: return@launch
                recordFailure(name, cause)
                if (clock.nowMs() - startMs >= STABLE_MS) failures = 0
                delay(delayMs(failures++))
            }
        }
    }

    /** Runs one [step] of a task, which goes on if the step throws. */
    fun step(name: String, step: () -> Unit) {
        catchAny(step).onLeft { recordFailure(name, it) }
    }

    private suspend fun failureOf(task: suspend () -> Unit): Throwable? = try {
        task()
        null
    } catch (e: CancellationException) {
        // A timeout that leaves its scope looks like a cancellation of the task, but is a failure.
        currentCoroutineContext().ensureActive()
        e
    } catch (e: Throwable) {
        e
    }

    private fun recordFailure(name: String, cause: Throwable) {
        onFailure(name)
        log.event(
            "task-failed",
            "task" eq name,
            "cause" eq cause.stackTraceToString().take(MAX_CAUSE_CHARS)
        )
    }

    private fun delayMs(failures: Int): Long =
        minOf(FIRST_DELAY_MS shl minOf(failures, MAX_DOUBLINGS), MAX_DELAY_MS)

    companion object {
        /** Time after which a task counts as running again, in milliseconds. */
        const val STABLE_MS = 10_000L

        /** Delay after the first failure, in milliseconds. */
        const val FIRST_DELAY_MS = 50L

        /** Longest delay, in milliseconds. */
        const val MAX_DELAY_MS = 1_600L
        private const val MAX_DOUBLINGS = 5
        private const val MAX_CAUSE_CHARS = 1_500
    }
}
