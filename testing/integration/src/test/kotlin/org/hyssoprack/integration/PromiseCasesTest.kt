package org.hyssoprack.integration

import assertk.assertThat
import assertk.assertions.contains
import assertk.assertions.isEmpty
import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import net.jqwik.api.Example
import org.hyssoprack.integration.audit.Promise
import org.hyssoprack.integration.cases.PromiseCase
import org.hyssoprack.integration.cases.PromiseTable

class PromiseCasesTest {
    @Example
    fun `whole answers`() = runCases(Promise.WHOLE_ANSWER)

    @Example
    fun `calls that may not be repeated`() = runCases(Promise.RUNS_ONCE)

    @Example
    fun `not run, and at most once`() =
        runCases(Promise.NOT_RUN_IS_TRUE, Promise.AT_MOST_ONCE, Promise.TIERS)

    @Example
    fun `leaving and stopping`() = runCases(Promise.LEAVING, Promise.GRACEFUL_STOP)

    @Example
    fun bundles() = runCases(Promise.BUNDLES)

    @Example
    fun `the page of promises lists the cases`() {
        val page = Path.of("../../docs/PROMISES.md").readText()
        assertThat(page).contains(PromiseTable.markdown())
        assertThat(page).contains(PromiseTable.list())
    }

    private fun runCases(vararg promises: Promise) = SharedDeployment().use { shared ->
        shared.deployment.start()
        val failures = PromiseTable.cases
            .filter { it.promise in promises }
            .mapNotNull { runCase(shared, it) }
        assertThat(failures).isEmpty()
    }

    /** Runs [case] and returns a description of its failure; null if it passed. */
    private fun runCase(shared: SharedDeployment, case: PromiseCase): String? {
        val before = shared.violations().size
        val started = System.nanoTime()
        val problem = try {
            runBlocking(Dispatchers.Default) {
                withTimeoutOrNull(CASE_TIMEOUT_MS) { case.run(this, shared) }
                    ?: error("not finished after $CASE_TIMEOUT_MS ms")
            }
            null
        } catch (e: AssertionError) {
            e.toString()
        } catch (e: Exception) {
            e.stackTraceToString()
        }
        shared.deployment.clearFaults()
        val violations = shared.violations().drop(before)
        val ms = (System.nanoTime() - started) / NANOS_PER_MS
        println("case '${case.promise} ${case.name}' took $ms ms: ${problem ?: "ok"} $violations")
        if (problem == null && violations.isEmpty()) return null
        return "${case.name}: $problem $violations, logs in ${shared.directory}"
    }

    private companion object {
        const val CASE_TIMEOUT_MS = 90_000L
        const val NANOS_PER_MS = 1_000_000
    }
}
