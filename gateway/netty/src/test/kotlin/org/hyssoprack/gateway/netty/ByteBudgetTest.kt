package org.hyssoprack.gateway.netty

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.ManualClock

/** Guards against refusing the wrong requests when a host is short of memory. */
class ByteBudgetTest {
    private val clock = ManualClock()
    private val budget = ByteBudget({ ByteLimits(maxHeldBytes = MB) }, clock)
    private val evicted = mutableListOf<String>()

    private inner class Caller(val name: String) : HoldingOwner {
        val holding = budget.open(this)

        fun read(bytes: Long, isComplete: Boolean = false) {
            if (holding.incompleteSinceMs == null) holding.incompleteSinceMs = clock.nowMs()
            if (isComplete) holding.incompleteSinceMs = null
            holding.incompleteBytes = if (isComplete) 0 else bytes
            budget.resize(holding, bytes)
        }

        override fun onPressureChanged() = Unit

        override fun onEvicted() {
            evicted += name
            holding.incompleteSinceMs = null
            budget.resize(holding, 0)
        }
    }

    @Example
    fun `large requests stop reading first and are refused if memory stays short`() {
        val old = Caller("old").also { it.read(MB * 4 / 10) }
        clock.advance(1_000)
        val young = Caller("young").also { it.read(MB * 4 / 10) }
        val small = Caller("small").also { it.read(1_000) }
        val readers = listOf(old, young, small).filter { budget.mayRead(it.holding) }
        assertThat(readers.map { it.name }).containsExactly("small")
        budget.tick()
        assertThat(evicted).containsExactly()
        clock.advance(200)
        budget.tick()
        assertThat(evicted).containsExactly("old")
        assertThat(budget.mayRead(young.holding)).isEqualTo(true)
    }

    @Example
    fun `at the limit incomplete requests are refused, complete ones never`() {
        Caller("complete").read(MB * 6 / 10, isComplete = true)
        Caller("small").read(1_000)
        Caller("large").read(MB / 2)
        assertThat(evicted).containsExactly("large")
        assertThat(budget.heldBytes).isEqualTo(MB * 6 / 10 + 1_000)
    }

    @Example
    fun `a response waits for room unless no other is held`() {
        val granted = mutableListOf<String>()
        val first = Caller("first")
        val second = Caller("second")
        budget.request(first.holding, 2 * MB) { granted += "first" }
        budget.request(second.holding, MB / 2) { granted += "second" }
        assertThat(granted).containsExactly("first")
        budget.close(first.holding)
        assertThat(granted).containsExactly("first", "second")
        assertThat(budget.heldBytes).isEqualTo(MB / 2)
    }

    private companion object {
        const val MB = 1_048_576L
    }
}
