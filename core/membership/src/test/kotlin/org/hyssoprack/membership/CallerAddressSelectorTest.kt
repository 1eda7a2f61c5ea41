package org.hyssoprack.membership

import assertk.assertThat
import assertk.assertions.containsExactlyInAnyOrder
import assertk.assertions.hasSize
import assertk.assertions.isEmpty
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThan
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.Region

class CallerAddressSelectorTest {
    private val near = FailureDomain("d0")
    private val region = Region("r")
    private val members = (0 until 1_200).map { SimulatedNetwork.member(it) }

    private class Case(val name: String, val members: List<Member>, val expected: List<Int>)

    private val cases = listOf(
        Case("near before far", pick(1, 0, 2, 3), listOf(0, 3, 1, 2)),
        Case("lightly loaded first", listOf(loaded(0, 90), loaded(3, 10)), listOf(3, 0)),
        Case("small differences of load do not matter in rank", listOf(loaded(0, 10)), listOf(0)),
        Case("leaving ones are left out", pick(0) + state(3, MemberState.LEAVING), listOf(0)),
        Case("suspected ones are left out", pick(0) + state(3, MemberState.SUSPECT), listOf(0)),
        Case("dead ones are left out", pick(0) + state(3, MemberState.DEAD), listOf(0)),
        Case("hosts without a bundle are left out", listOf(bundle(0, 7)) + pick(3), listOf(0)),
        Case(
            "before the first bundle all are listed",
            listOf(loaded(0, 9), loaded(3, 90)),
            listOf(0, 3)
        ),
        Case("none", emptyList(), emptyList())
    )

    @Example
    fun `addresses are chosen by nearness, load and state`() {
        for (case in cases) {
            val chosen = choose(case.members).map { SimulatedNetwork.indexOf(it.ref.host) }
            val far = case.expected.filter { it % 3 != 0 }
            assertThat(
                chosen - far.toSet(),
                name = case.name
            ).isEqualTo(case.expected - far.toSet())
            assertThat(chosen.takeLast(far.size), name = case.name)
                .containsExactlyInAnyOrder(*far.toTypedArray())
        }
    }

    @Example
    fun `a long list is cut and keeps some addresses of other failure domains`() {
        val chosen = choose(members)
        assertThat(chosen).hasSize(12)
        val far = chosen.filter { SimulatedNetwork.indexOf(it.ref.host) % 3 != 0 }
        assertThat(far).hasSize(4)
    }

    @Example
    fun `callers are spread over the hosts`() {
        val addresses = CallerAddressSelector(random = Random(1))
        val view = view(members)
        val used = (0 until 400).flatMap { addresses.choose(view, near, region) }.toSet()
        val unused = members.filter { it.domain == near && used.none { u -> u.ref == it.ref } }
        assertThat(unused).isEmpty()
    }

    @Example
    fun `deterministic answers list the same hosts, large ones more often, all in some domain`() {
        val fleet = members.take(95).mapIndexed { i, member ->
            member.copy(capacity = if (i % 2 == 0) 150 else 36)
        }
        val domains = fleet.map { it.domain }.distinct()
        val listed = domains.flatMap { domain ->
            val answers = (1..5).map {
                CallerAddressSelector(limit = 64, random = Random(it), isDeterministic = true)
                    .choose(view(fleet), domain, region).map { address -> address.ref }.toSet()
            }
            assertThat(answers.toSet()).hasSize(1)
            answers.first()
        }
        assertThat(fleet.filter { it.ref !in listed }).isEmpty()
        val (strong, weak) = fleet.partition { it.capacity > 100 }
        val ofStrong = listed.count { ref -> strong.any { it.ref == ref } }.toDouble() / strong.size
        val ofWeak = listed.count { ref -> weak.any { it.ref == ref } }.toDouble() / weak.size
        assertThat(ofStrong).isGreaterThan(ofWeak)
    }

    private fun choose(members: List<Member>) =
        CallerAddressSelector(random = Random(1)).choose(view(members), near, region)

    private fun pick(vararg indexes: Int) = indexes.map { SimulatedNetwork.member(it) }

    private fun loaded(index: Int, load: Int) = SimulatedNetwork.member(index).copy(load = load)

    private fun bundle(index: Int, version: Long) =
        SimulatedNetwork.member(index).copy(bundle = BundleVersion(version))

    private fun state(index: Int, state: MemberState) =
        SimulatedNetwork.member(index).copy(state = state)

    private fun view(members: List<Member>) = MemberView(members.associateBy { it.ref.host })
}
