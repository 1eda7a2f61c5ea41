package org.hyssoprack.common

import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEmpty
import assertk.assertions.isEqualTo
import net.jqwik.api.Example

class MessageNumbersTest {
    @Example
    fun `two runs have no number in common`() {
        val start = System.currentTimeMillis()
        val numbers = listOf(0L, 1L, 2L, 1_000L).map { MessageNumbers(Incarnation(start + it)) }
            .map { run -> List(10_000) { run.next() }.toSet() }
        for (former in numbers.indices) {
            for (later in former + 1 until numbers.size) {
                assertThat(numbers[former] intersect numbers[later], "$former, $later").isEmpty()
            }
        }
        assertThat(numbers.sumOf { it.size }).isEqualTo(40_000)
    }

    @Example
    fun `numbers of a run that starts in 200 years are positive`() {
        val yearMs = 366L * 24 * 60 * 60 * 1_000
        val number = MessageNumbers(Incarnation(System.currentTimeMillis() + 200 * yearMs)).next()
        assertThat(number).isBetween(1L, Long.MAX_VALUE)
    }
}
