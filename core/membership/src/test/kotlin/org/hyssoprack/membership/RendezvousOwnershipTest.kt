package org.hyssoprack.membership

import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import assertk.assertions.isNotEqualTo
import assertk.assertions.isNull
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId

class RendezvousOwnershipTest {
    private val ownership = RendezvousOwnership()
    private val near = FailureDomain("d0")
    private val members = (0 until 9).map { SimulatedNetwork.member(it) }
    private val servers = (0 until 900).map { BackendServerId("s$it") }

    @Example
    fun `all hosts agree whatever the order of their members`() {
        val other = RendezvousOwnership()
        for (server in servers) {
            val owner = ownership.owner(view(members), server, near)
            assertThat(other.owner(view(members.reversed()), server, near)).isEqualTo(owner)
        }
    }

    @Example
    fun `ownership is balanced among the hosts of the server's failure domain`() {
        val owned = owners(members).entries.groupingBy { it.value }.eachCount()
        assertThat(owned.keys).isEqualTo(setOf<HostId?>(host(0), host(3), host(6)))
        owned.values.forEach { assertThat(it).isBetween(240, 360) }
    }

    @Example
    fun `only the servers of a lost host change owner`() {
        val before = owners(members)
        val after = owners(members - members[3])
        for ((server, owner) in before) {
            if (owner == host(3)) {
                assertThat(after[server]).isNotEqualTo(host(3))
            } else {
                assertThat(after[server]).isEqualTo(owner)
            }
        }
    }

    @Example
    fun `cached owners equal those computed from scratch`() {
        owners(members)
        for (lost in members) {
            val view = view(members - lost)
            val fresh = RendezvousOwnership()
            for (server in servers) {
                val owner = ownership.owner(view, server, lost.domain)
                assertThat(owner).isEqualTo(fresh.owner(view, server, lost.domain))
            }
        }
    }

    private class StateCase(val state: MemberState, val owns: Boolean)

    private val stateCases = listOf(
        StateCase(MemberState.ALIVE, owns = true),
        StateCase(MemberState.SUSPECT, owns = true),
        StateCase(MemberState.LEAVING, owns = false),
        StateCase(MemberState.DEAD, owns = false)
    )

    @Example
    fun `live and suspected hosts own, leaving and dead ones do not`() {
        for (case in stateCases) {
            val member = members[0].copy(state = case.state)
            val owner = ownership.owner(view(listOf(member)), servers[0], near)
            assertThat(owner == member.ref.host, name = case.state.name).isEqualTo(case.owns)
        }
    }

    @Example
    fun `hosts of other failure domains own when the near ones are gone`() {
        val far = members.filter { it.domain != near }
        val owner = ownership.owner(view(far), servers[0], near)
        assertThat(far.map { it.ref.host }.contains(owner)).isEqualTo(true)
    }

    @Example
    fun `without live hosts there is no owner`() {
        assertThat(ownership.owner(view(emptyList()), servers[0], near)).isNull()
    }

    private fun owners(members: List<Member>) = view(members).let { view ->
        servers.associateWith { ownership.owner(view, it, near) }
    }

    private fun view(members: List<Member>) = MemberView(members.associateBy { it.ref.host })

    private fun host(index: Int) = SimulatedNetwork.host(index)
}
