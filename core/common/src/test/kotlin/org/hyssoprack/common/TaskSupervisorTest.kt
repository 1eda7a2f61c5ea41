package org.hyssoprack.common

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEqualTo
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example

/** Guards against a background task that ends without anybody noticing. */
@OptIn(ExperimentalCoroutinesApi::class)
class TaskSupervisorTest {
    private val failed = ArrayList<String>()
    private val events = ArrayList<String>()

    @Example
    fun `a task that fails is started again, whatever it throws`() {
        class Case(val name: String, val fail: suspend () -> Unit)
        val cases = listOf(
            Case("an exception") { error("fault") },
            Case("a stack overflow") { throw StackOverflowError() },
            Case("an assertion") { throw AssertionError() },
            Case("a timeout that leaves its scope") { withTimeout(10) { awaitCancellation() } },
            Case("a cancelled result") { CompletableDeferred<Unit>().also { it.cancel() }.await() }
        )
        for (case in cases) {
            failed.clear()
            events.clear()
            runTest {
                var runs = 0
                supervisor().launch("t") {
                    runs++
                    if (runs <= 2) case.fail()
                    awaitCancellation()
                }
                delay(1_000)
                assertThat(runs, case.name).isEqualTo(3)
            }
            assertThat(failed, case.name).containsExactly("t", "t")
            assertThat(events, case.name).containsExactly("task-failed", "task-failed")
        }
    }

    @Example
    fun `the delay doubles with each failure and begins anew after a long run`() = runTest {
        val startsMs = ArrayList<Long>()
        supervisor().launch("t") {
            startsMs += testScheduler.currentTime
            if (startsMs.size == LONG_RUN) delay(TaskSupervisor.STABLE_MS)
            error("fault")
        }
        delay(60_000)
        val gapsMs = startsMs.zipWithNext { a, b -> b - a }.take(LONG_RUN + 1)
        val stableMs = TaskSupervisor.STABLE_MS
        assertThat(gapsMs)
            .containsExactly(50L, 100L, 200L, 400L, 800L, 1_600L, 1_600L, stableMs + 50L, 100L)
    }

    @Example
    fun `a task that returns has ended, and one that is cancelled is not started again`() {
        var runs = 0
        runTest {
            supervisor().launch("returns") { runs++ }
            supervisor().launch("cancelled") {
                runs++
                awaitCancellation()
            }
            delay(60_000)
        }
        assertThat(runs).isEqualTo(2)
        assertThat(failed).isEqualTo(emptyList<String>())
    }

    @Example
    fun `a step that fails does not end its task`() = runTest {
        val done = ArrayList<Int>()
        val tasks = supervisor()
        for (i in 1..3) {
            tasks.step("s") { if (i == 2) throw StackOverflowError() else done += i }
        }
        assertThat(done).containsExactly(1, 3)
        assertThat(failed).containsExactly("s")
    }

    private companion object {
        /** Number of the run that lasts long before it fails. */
        const val LONG_RUN = 8
    }

    private fun TestScope.supervisor(): TaskSupervisor {
        val clock = object : Clock {
            override fun nowMs() = testScheduler.currentTime

            override fun epochMs() = nowMs()
        }
        val log = object : EventLog {
            override fun event(name: String, vararg fields: LogField) {
                events += name
            }
        }
        return TaskSupervisor(backgroundScope, clock, log) { failed += it }
    }
}
