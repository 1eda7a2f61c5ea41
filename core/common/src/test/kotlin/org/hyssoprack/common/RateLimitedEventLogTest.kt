package org.hyssoprack.common

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEqualTo
import net.jqwik.api.Example

/** Guards against plain successes that fill the limit, so that failures are left out. */
class RateLimitedEventLogTest {
    private val clock = ManualClock()
    private val lines = ArrayList<String>()
    private val target = object : EventLog {
        override fun event(name: String, vararg fields: LogField) {
            lines += EventLine.format(name, fields.toList())
        }
    }
    private val log = RateLimitedEventLog(target, clock, perSecond = 60)

    @Example
    fun `routine events are left out first`() {
        class Case(val name: String, val events: String, val written: Map<Char, Int>)
        val cases = listOf(
            Case("few", "r".repeat(30) + "e".repeat(30), mapOf('r' to 30, 'e' to 30)),
            Case("routine only", "r".repeat(100), mapOf('r' to 40)),
            Case("others only", "e".repeat(100), mapOf('e' to 60)),
            Case("routine first", "r".repeat(100) + "e".repeat(100), mapOf('r' to 40, 'e' to 20)),
            Case("others first", "e".repeat(40) + "r".repeat(100), mapOf('e' to 40)),
            Case("in turn", "rrre".repeat(50), mapOf('r' to 30, 'e' to 30)),
            Case("a few others", "rrrrrrrrre".repeat(20), mapOf('r' to 36, 'e' to 20))
        )
        for (case in cases) {
            lines.clear()
            write(case.events)
            assertThat(lines.groupingBy { it.last() }.eachCount(), case.name)
                .isEqualTo(case.written)
            nextSecond()
            log.event("told")
            nextSecond()
        }
    }

    @Example
    fun `the next second tells how many events were dropped, and how many of them were routine`() {
        class Case(val events: String, val told: String)
        val cases = listOf(
            Case("r".repeat(45), "event=log-events-dropped count=5 routine=5"),
            Case("e".repeat(63), "event=log-events-dropped count=3 routine=0"),
            Case(
                "r".repeat(50) + "e".repeat(27),
                "event=log-events-dropped count=17 routine=10"
            )
        )
        for (case in cases) {
            write(case.events)
            nextSecond()
            lines.clear()
            write("re")
            assertThat(lines).containsExactly(case.told, "event=r", "event=e")
            nextSecond()
            lines.clear()
            write("r")
            assertThat(lines).containsExactly("event=r")
            nextSecond()
        }
    }

    private fun write(events: String) = events.forEach {
        if (it == 'r') log.routine("r") else log.event("e")
    }

    private fun nextSecond() = clock.advance(1_000)
}
