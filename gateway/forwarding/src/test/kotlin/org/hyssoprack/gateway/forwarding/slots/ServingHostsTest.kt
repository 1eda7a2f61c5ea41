package org.hyssoprack.gateway.forwarding.slots

import assertk.assertThat
import assertk.assertions.isCloseTo
import assertk.assertions.isEqualTo
import assertk.assertions.isNotEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.Region
import org.hyssoprack.membership.Member
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.MemberView
import org.hyssoprack.serving.limits.HostPosition

class ServingHostsTest {
    private val clock = ManualClock(100_000)

    @Example
    fun `all hosts with the same members choose the same owner, a settled one of high capacity`() {
        class Case(val name: String, val members: List<Member>, val owner: String?)
        val strong = member("strong", capacity = 150)
        val cases = listOf(
            Case("no members", emptyList(), null),
            Case("one", listOf(strong), "strong"),
            Case(
                "with weaker members",
                listOf(strong, member("w1", 36), member("w2", 36)),
                "strong"
            ),
            Case(
                "with a new member",
                listOf(strong, member("n", 150, startedMs = 99_000)),
                "strong"
            ),
            Case("only a new member", listOf(member("n", 150, startedMs = 99_000)), "n"),
            Case("with leaving members", listOf(strong, leaving("l"), leaving("m")), "strong")
        )
        for (case in cases) {
            val owners = (1..5).map { hosts("self-$it", case.members).owner()?.value }.toSet()
            assertThat(owners, case.name).isEqualTo(setOf(case.owner))
        }
    }

    @Example
    fun `an unavailable owner is chosen again after a time`() {
        val hosts = hosts("self", listOf(member("a", 100), member("b", 100)))
        val first = hosts.owner()!!
        hosts.markUnavailable(first)
        assertThat(hosts.owner()).isNotEqualTo(first)
        clock.advance(3_000)
        assertThat(hosts.owner()).isEqualTo(first)
    }

    @Example
    fun `a host that is alone owns the slots from the moment at which it is ready`() {
        var isReady = false
        val self = member("self", 100)
        val view = MemberView(mapOf(self.ref.host to self))
        val hosts = ServingHosts(self.ref, { view }, clock, 8_000, isReady = { isReady })
        assertThat(hosts.owner()).isEqualTo(null)
        clock.advance(150)
        isReady = true
        assertThat(hosts.owner()).isEqualTo(self.ref.host)
    }

    @Example
    fun `a host that reports to another owner does not count itself as reporting to its own ledger`() {
        val hosts = hosts("self", listOf(member("self", 100), member("a", 100), member("b", 100)))
        val reporting = setOf(HostId("a"))
        assertThat(hosts.reportingShare({ it in reporting }, { true })).isEqualTo(1.0 / 3)
    }

    @Example
    fun `the shares of owners with the same members add up to one`() {
        val members = listOf("a", "b", "c", "d").map { member(it, 100) }
        val first = hosts("a", members).shareOf(setOf(HostId("a"), HostId("b"), HostId("c")))
        val second = hosts("b", members).shareOf(setOf(HostId("d"), HostId("gone")))
        assertThat(first + second).isEqualTo(1.0)
    }

    @Example
    fun `a host that has just started counts registered hosts that it has not heard of`() {
        class Case(val name: String, val startedMs: Long, val heardOf: Int, val share: Double)
        val cases = listOf(
            Case("just started, alone", startedMs = 99_000, heardOf = 0, share = 1.0 / 9),
            Case("just started, some seen", startedMs = 99_000, heardOf = 3, share = 4.0 / 9),
            Case("just started, most seen", startedMs = 99_000, heardOf = 5, share = 1.0),
            Case("started long ago", startedMs = 1, heardOf = 3, share = 1.0)
        )
        for (case in cases) {
            val self = member("self", 100, case.startedMs)
            val members = List(case.heardOf) { member("m$it", 100) } + self
            val hosts = hosts(self.ref, members, unseenHosts = 9 - members.size)
            assertThat(hosts.reportingShare({ true }, { true }), case.name).isEqualTo(case.share)
        }
    }

    @Example
    fun `the shares of hosts that start at once and see none of the others add up to one`() {
        val shares = (1..9).map {
            val self = member("h$it", 100, startedMs = 99_000)
            hosts(self.ref, listOf(self), unseenHosts = 8).shareOf(setOf(self.ref.host))
        }
        assertThat(shares.sum()).isCloseTo(1.0, delta = 1e-9)
    }

    @Example
    fun `hosts with the same members have different positions, dead ones have none`() {
        val dead = member("c", 100).copy(state = MemberState.DEAD)
        val members = listOf(member("b", 100), dead, member("d", 100), member("a", 100))
        val positions = listOf("a", "b", "d").map { hosts(it, members).position() }
        assertThat(positions).isEqualTo(List(3) { HostPosition(index = it, count = 3) })
    }

    private fun hosts(name: String, members: List<Member>): ServingHosts =
        hosts(HostRef(HostId(name), Incarnation(1)), members)

    private fun hosts(self: HostRef, members: List<Member>, unseenHosts: Int = 0): ServingHosts {
        val view = MemberView(members.associateBy { it.ref.host }, unseenHosts = unseenHosts)
        return ServingHosts(self, { view }, clock, 8_000)
    }

    private fun member(name: String, capacity: Int, startedMs: Long = 1) = Member(
        ref = HostRef(HostId(name), Incarnation(startedMs)),
        linkAddress = NetworkAddress("10.0.0.1", 1),
        callerAddress = NetworkAddress("10.0.0.1", 2),
        domain = FailureDomain("z"),
        region = Region("r"),
        capacity = capacity
    )

    private fun leaving(name: String) = member(name, 150).copy(state = MemberState.LEAVING)
}
