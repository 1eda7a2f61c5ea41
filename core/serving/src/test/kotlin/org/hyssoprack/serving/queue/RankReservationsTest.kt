package org.hyssoprack.serving.queue

import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example

class RankReservationsTest {
    private class Use(val asks: Int, val grants: Int, val slotMs: Double)

    @Example
    fun `a less urgent rank is underservedRanks a slot while it is served less often, within its reserve`() {
        class Case(val name: String, val uses: Map<Int, Use>, val underservedRanks: List<Int>)
        val urgent = Use(asks = 20, grants = 20, slotMs = 1_000.0)
        val cases = listOf(
            Case("nothing was asked", emptyMap(), underservedRanks = emptyList()),
            Case("one rank alone", mapOf(2 to Use(20, 0, 0.0)), underservedRanks = emptyList()),
            Case(
                "served less",
                mapOf(0 to urgent, 1 to Use(20, 10, 10.0)),
                underservedRanks = listOf(1)
            ),
            Case(
                "served alike",
                mapOf(0 to urgent, 1 to Use(20, 20, 10.0)),
                underservedRanks = emptyList()
            ),
            Case(
                "reserve used",
                mapOf(0 to urgent, 1 to Use(20, 10, 900.0)),
                underservedRanks = emptyList()
            ),
            Case(
                "served more often than a rank between",
                mapOf(0 to urgent, 1 to Use(20, 5, 900.0), 2 to Use(20, 10, 10.0)),
                underservedRanks = emptyList()
            ),
            Case(
                "two ranks",
                mapOf(0 to urgent, 1 to Use(20, 10, 10.0), 2 to Use(20, 5, 10.0)),
                underservedRanks = listOf(1, 2)
            )
        )
        for (case in cases) {
            val shares = RankReservations()
            case.uses.forEach { (rank, use) ->
                repeat(use.asks) { shares.asked(rank, NOW_MS) }
                repeat(use.grants) { shares.granted(rank, use.slotMs / use.grants, NOW_MS) }
            }
            assertThat(shares.underservedRanks(NOW_MS), case.name).isEqualTo(case.underservedRanks)
            assertThat(
                shares.underservedRanks(NOW_MS + 60_000),
                "${case.name}, later"
            ).isEqualTo(emptyList())
        }
    }

    private companion object {
        const val NOW_MS = 100_000L
    }
}
