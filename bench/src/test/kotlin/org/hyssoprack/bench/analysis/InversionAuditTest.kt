package org.hyssoprack.bench.analysis

import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example

class InversionAuditTest {
    @Example
    fun `a shed request is an inversion if a lower tier held a slot at that time`() {
        cases.forEach { case ->
            val audit = InversionAudit(tiers = listOf("high", "mid", "low"), case.events)
            val found = audit.inversions(marginMs = 0).map { it.shedRequest }
            assertThat(found, name = case.name).isEqualTo(case.inversions)
        }
    }

    @Example
    fun `a margin excludes inversions caused by message delay`() {
        val events = listOf(
            event("dispatched", 0, "a", "low"),
            event("rejected", 90, "b", "high"),
            event("finished", 1_000, "a", "low")
        )
        val audit = InversionAudit(tiers = listOf("high", "low"), events)
        assertThat(audit.inversions(marginMs = 100).size).isEqualTo(0)
        assertThat(audit.inversions(marginMs = 50).size).isEqualTo(1)
    }

    private class Case(
        val name: String,
        val inversions: List<String>,
        vararg val list: LoggedEvent
    ) {
        val events get() = list.toList()
    }

    private companion object {
        fun event(name: String, atMs: Long, request: String, tier: String, code: String = "2000") =
            LoggedEvent(
                process = "h1",
                name = name,
                fields = mapOf(
                    "epoch_ms" to "$atMs",
                    "request" to request,
                    "tier" to tier,
                    "code" to code,
                    "server" to "e1"
                )
            )

        val cases = listOf(
            Case(
                "a lower tier runs",
                listOf("b"),
                event("dispatched", 0, "a", "low"),
                event("rejected", 5, "b", "mid"),
                event("finished", 9, "a", "low")
            ),
            Case(
                "only higher and equal tiers run",
                emptyList(),
                event("dispatched", 0, "a", "high"),
                event("dispatched", 0, "c", "mid"),
                event("rejected", 5, "b", "mid"),
                event("finished", 9, "a", "high"),
                event("finished", 9, "c", "mid")
            ),
            Case(
                "the lower tier has finished",
                emptyList(),
                event("dispatched", 0, "a", "low"),
                event("finished", 4, "a", "low"),
                event("rejected", 5, "b", "mid")
            ),
            Case(
                "the lower tier is suspended",
                emptyList(),
                event("dispatched", 0, "a", "low"),
                event("suspended", 3, "a", "low"),
                event("rejected", 5, "b", "mid"),
                event("resumed", 7, "a", "low"),
                event("finished", 9, "a", "low")
            ),
            Case(
                "rejected for a fault of the caller",
                emptyList(),
                event("dispatched", 0, "a", "low"),
                event("rejected", 5, "b", "mid", code = "2009"),
                event("finished", 9, "a", "low")
            )
        )
    }
}
