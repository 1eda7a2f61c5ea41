package org.hyssoprack.claims

import assertk.assertThat
import assertk.assertions.each
import assertk.assertions.isEqualTo
import assertk.assertions.isInstanceOf
import assertk.assertions.isLessThanOrEqualTo
import assertk.assertions.isNotIn
import net.jqwik.api.ForAll
import net.jqwik.api.Property

class ClaimPropertyTest {
    @Property(tries = 3_000, seed = SEED)
    fun `a call runs at most once over any interleaving`(@ForAll seed: Long) = after(seed) {
        assertThat(it.dispatched.size).isLessThanOrEqualTo(1)
    }

    @Property(tries = 3_000, seed = SEED)
    fun `only attempts that did not dispatch the call are marked as not run`(@ForAll seed: Long) =
        after(seed) { run ->
            val notRun = run.table.log.mapNotNull(ClaimRow::of)
                .filter { it.state == ClaimState.NOT_RUN }
                .map { it.attempt }
            assertThat(notRun).each { it.isNotIn(*run.dispatched.toTypedArray()) }
        }

    @Property(tries = 3_000, seed = SEED)
    fun `no recorded outcome is ever replaced`(@ForAll seed: Long) = after(seed) { run ->
        val states = run.table.log.mapNotNull(ClaimRow::of).map { it.state }
        val afterEnd = states.dropWhile { it != ClaimState.ENDED }
        assertThat(afterEnd.size).isLessThanOrEqualTo(1)
    }

    @Property(tries = 3_000, seed = SEED)
    fun `when the store is back all repairs settle and a retry gets the actual outcome`(
        @ForAll seed: Long
    ) = after(seed) { run ->
        assertThat(run.pendingRepairs()).isEqualTo(0)
        val ran = run.dispatched.isNotEmpty()
        val retry = run.attemptAfterFaults()
        val expected = if (ran) ClaimResult.Recorded::class else ClaimResult.Granted::class
        assertThat(retry).isInstanceOf(expected)
    }

    private fun after(seed: Long, check: (ClaimSimulation) -> Unit) {
        val run = ClaimSimulation(seed)
        try {
            run.execute()
            check(run)
        } finally {
            run.close()
        }
    }

    private companion object {
        const val SEED = "20261204"
    }
}
