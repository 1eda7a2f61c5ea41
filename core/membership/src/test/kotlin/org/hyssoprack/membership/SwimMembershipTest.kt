package org.hyssoprack.membership

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isTrue
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.link.Link
import org.hyssoprack.link.ReceivedMessage

class SwimMembershipTest {
    private val scope = CoroutineScope(Job() + Dispatchers.Default)
    private val links = ConcurrentHashMap<NetworkAddress, MemoryLink>()
    private val table = FakeTable()

    @AfterTry
    fun stop() = scope.cancel()

    @Example
    fun `hosts join through the rows of the directory`() {
        val hosts = List(3) { start(it, seeds = emptyList()) }
        assertThat(hosts.all { reaches(it) { view -> view.live().size == 3 } }).isTrue()
        assertThat(table.writes).isEqualTo(3)
    }

    @Example
    fun `hosts that start at the same time find each other`() {
        table.writeDelayMs = 300
        val hosts = List(3) { start(it, seeds = emptyList()) }
        assertThat(hosts.all { reaches(it) { view -> view.live().size == 3 } }).isTrue()
    }

    @Example
    fun `hosts join through the settings while the table service is down`() {
        table.isDown = true
        val hosts = List(3) { start(it, seeds = listOf(SimulatedNetwork.address(0))) }
        assertThat(hosts.all { reaches(it) { view -> view.live().size == 3 } }).isTrue()
    }

    @Example
    fun `hosts whose rows a restored store lost are found by those that start afterwards`() {
        val hosts = ArrayList(List(2) { start(it, seeds = emptyList()) })
        assertThat(hosts.all { reaches(it) { view -> view.live().size == 2 } }).isTrue()
        table.rows.clear()
        hosts += List(2) { start(2 + it, seeds = emptyList()) }
        assertThat(reaches(hosts[3]) { view -> view.live().size == 2 }).isTrue()
        hosts.forEach { it.storeRestored() }
        assertThat(hosts.all { reaches(it) { view -> view.live().size == 4 } }).isTrue()
        assertThat(table.rows.size).isEqualTo(4)
    }

    @Example
    fun `restarted hosts find each other by their rows from before while writes are lost`() {
        val hosts = List(3) { start(it, seeds = emptyList()) }
        assertThat(hosts.all { reaches(it) { view -> view.live().size == 3 } }).isTrue()
        scope.coroutineContext.cancelChildren()
        table.losesWrites = true
        val first = start(0, seeds = emptyList(), incarnation = 2)
        assertThat(reaches(first) { view -> view.unseenHosts == 2 }).isTrue()
        val restarted = List(2) { start(it + 1, seeds = emptyList(), incarnation = 2) } + first
        assertThat(restarted.all { reaches(it) { view -> view.live().size == 3 } }).isTrue()
        assertThat(restarted.all { reaches(it) { view -> view.unseenHosts == 0 } }).isTrue()
    }

    @Example
    fun `the announced status and the leaving state of a host reach its peers`() {
        val hosts = List(2) { start(it, seeds = listOf(SimulatedNetwork.address(0))) }
        hosts[1].announce(load = 30, bundle = BundleVersion(4))
        hosts[1].leave()
        val received = reaches(hosts[0]) { view ->
            val member = view.members[SimulatedNetwork.host(1)]
            member?.state == MemberState.LEAVING && member.load == 30
        }
        assertThat(received).isTrue()
    }

    private fun start(
        index: Int,
        seeds: List<NetworkAddress>,
        incarnation: Long = 1
    ): SwimMembership {
        val member = SimulatedNetwork.member(index, incarnation)
        val link = MemoryLink(member)
        links[member.linkAddress] = link
        val directory = TableMemberDirectory(table)
        val membership = SwimMembership(member, link, seeds, directory)
        membership.start(scope)
        scope.launch {
            for (received in link.incoming) {
                membership.receive(received.from, received.message as MemberMessage)
            }
        }
        return membership
    }

    private fun reaches(host: SwimMembership, holds: (MemberView) -> Boolean): Boolean =
        runBlocking { withTimeoutOrNull(WAIT_MS) { host.view.first(holds) } != null }

    private inner class MemoryLink(private val self: Member) : Link {
        override val incoming = Channel<ReceivedMessage>(Channel.UNLIMITED)

        override fun send(to: HostId, message: HostMessage) =
            sendTo(SimulatedNetwork.address(SimulatedNetwork.indexOf(to)), message)

        override fun sendTo(address: NetworkAddress, message: HostMessage) {
            links[address]?.incoming?.trySend(ReceivedMessage(self.ref, message))
        }

        override fun setAddress(host: HostId, address: NetworkAddress) = Unit

        override suspend fun close() = Unit
    }

    private companion object {
        const val WAIT_MS = 20_000L
    }
}
