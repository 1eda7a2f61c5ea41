package org.hyssoprack.serving.queue

import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example

class RankReservationsTest {
    private class Usage(val requests: Int, val grants: Int, val slotMs: Double)

    @Example
    fun `a less urgent rank is underserved while it is served less often, within its reservation`() {
        class Case(val name: String, val usages: Map<Int, Usage>, val underservedRanks: List<Int>)
        val urgent = Usage(requests = 20, grants = 20, slotMs = 1_000.0)
        val cases = listOf(
            Case("no requests", emptyMap(), underservedRanks = emptyList()),
            Case("one rank alone", mapOf(2 to Usage(20, 0, 0.0)), underservedRanks = emptyList()),
            Case(
                "served less often",
                mapOf(0 to urgent, 1 to Usage(20, 10, 10.0)),
                underservedRanks = listOf(1)
            ),
            Case(
                "served equally often",
                mapOf(0 to urgent, 1 to Usage(20, 20, 10.0)),
                underservedRanks = emptyList()
            ),
            Case(
                "reservation used",
                mapOf(0 to urgent, 1 to Usage(20, 10, 900.0)),
                underservedRanks = emptyList()
            ),
            Case(
                "served more often than a rank between",
                mapOf(0 to urgent, 1 to Usage(20, 5, 900.0), 2 to Usage(20, 10, 10.0)),
                underservedRanks = emptyList()
            ),
            Case(
                "two ranks",
                mapOf(0 to urgent, 1 to Usage(20, 10, 10.0), 2 to Usage(20, 5, 10.0)),
                underservedRanks = listOf(1, 2)
            )
        )
        for (case in cases) {
            val reservations = RankReservations()
            case.usages.forEach { (rank, usage) ->
                repeat(usage.requests) { reservations.recordRequest(rank, NOW_MS) }
                repeat(usage.grants) {
                    reservations.recordGrant(rank, usage.slotMs / usage.grants, NOW_MS)
                }
            }
            assertThat(
                reservations.underservedRanks(NOW_MS),
                case.name
            ).isEqualTo(case.underservedRanks)
            assertThat(
                reservations.underservedRanks(NOW_MS + 60_000),
                "${case.name}, later"
            ).isEqualTo(emptyList())
        }
    }

    private companion object {
        const val NOW_MS = 100_000L
    }
}
