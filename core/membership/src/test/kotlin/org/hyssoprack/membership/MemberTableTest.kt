package org.hyssoprack.membership

import assertk.assertThat
import assertk.assertions.containsOnly
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThan
import assertk.assertions.isLessThan
import assertk.assertions.isNull
import assertk.assertions.isTrue
import net.jqwik.api.Example
import org.hyssoprack.common.BundleVersion

/**
 * Tests with nine hosts. The time limits follow from [MembershipSettings] and from the two seconds
 * within which a failed host is to be detected.
 */
class MemberTableTest {
    private val network = SimulatedNetwork(count = HOSTS)
    private val allHosts = 0 until HOSTS

    @Example
    fun `all hosts find each other through one seed`() {
        assertThat(network.runUntil(JOIN_MS) { allHosts.all { sees(it, HOSTS) } }).isTrue()
    }

    @Example
    fun `all hosts mark a failed host dead within the promised time`() {
        settle()
        network.kill(4)
        val detected = network.runUntil(DETECTION_MS) { (allHosts - 4).all { isDead(it, 4) } }
        assertThat(detected).isTrue()
    }

    @Example
    fun `a host that one peer cannot reach is not suspected while other peers reach it`() {
        settle()
        network.cut(listOf(1), listOf(2))
        network.run(LONG_MS)
        assertThat(network.state(seenBy = 1, of = 2)).isEqualTo(MemberState.ALIVE)
        assertThat(network.state(seenBy = 2, of = 1)).isEqualTo(MemberState.ALIVE)
    }

    @Example
    fun `a host with one-way message loss is not suspected while other peers reach it`() {
        settle()
        network.cut(listOf(3), listOf(5), oneWay = true)
        network.run(LONG_MS)
        assertThat(allHosts.map { network.state(it, 3) }).containsOnly(MemberState.ALIVE)
        assertThat(allHosts.map { network.state(it, 5) }).containsOnly(MemberState.ALIVE)
    }

    @Example
    fun `a resumed host refutes its dead state`() {
        settle()
        network.pause(6)
        assertThat(network.runUntil(DETECTION_MS) { isDead(0, 6) }).isTrue()
        network.resume(6)
        assertThat(network.runUntil(LONG_MS) { allAlive() }).isTrue()
    }

    @Example
    fun `a resumed host does not mark its peers dead`() {
        settle()
        network.pause(6)
        network.run(LONG_MS)
        network.resume(6)
        network.run(100)
        assertThat((allHosts - 6).map { network.state(6, it) }).containsOnly(MemberState.ALIVE)
        assertThat(network.view(6).reachableShare).isLessThan(0.5)
    }

    @Example
    fun `a restarted host replaces its previous run`() {
        settle()
        network.kill(2)
        network.start(2)
        val replaced = network.runUntil(LONG_MS) {
            allHosts.all { refOf(it, 2) == network.view(2).members[SimulatedNetwork.host(2)]?.ref }
        }
        assertThat(replaced).isTrue()
        network.run(LONG_MS)
        assertThat(allAlive()).isTrue()
    }

    @Example
    fun `a leaving host is shown as leaving and never as suspected`() {
        settle()
        network.table(7).leave()
        assertThat(network.runUntil(LONG_MS) { (allHosts - 7).all { isLeaving(it, 7) } }).isTrue()
        network.kill(7)
        val gone = network.runUntil(LONG_MS) {
            val states = (allHosts - 7).map { network.state(it, 7) }
            check(MemberState.SUSPECT !in states && MemberState.ALIVE !in states)
            states.all { it == MemberState.DEAD }
        }
        assertThat(gone).isTrue()
        assertThat(network.view(0).reachableShare).isEqualTo(1.0)
    }

    @Example
    fun `a partitioned failure domain reports few reachable peers and rejoins after an hour`() {
        settle()
        val near = allHosts.filter { it % 3 == 0 }
        network.cut(near, allHosts - near.toSet())
        network.run(LONG_MS)
        assertThat(network.view(0).reachableShare).isLessThan(0.5)
        assertThat(network.view(1).reachableShare).isGreaterThan(0.5)
        network.run(HOUR_MS)
        assertThat(network.view(0).reachableShare).isLessThan(0.5)
        network.heal()
        assertThat(network.runUntil(LONG_MS) { allAlive() }).isTrue()
    }

    @Example
    fun `after a partition no host is marked dead by a host of its own side`() {
        settle()
        val near = allHosts.filter { it % 3 == 0 }.toSet()
        network.cut(near, allHosts - near)
        network.run(LONG_MS)
        network.heal()
        val healed = network.runUntil(LONG_MS) {
            check(near.none { a -> near.any { b -> isDead(a, b) } })
            allAlive()
        }
        assertThat(healed).isTrue()
    }

    @Example
    fun `all members are alive again after a loss of a fifth of all messages`() {
        settle()
        network.lossPercent = 20
        network.run(LONG_MS)
        network.lossPercent = 0
        assertThat(network.runUntil(LONG_MS) { allAlive() }).isTrue()
    }

    @Example
    fun `load and bundle version reach the peers`() {
        settle()
        network.table(8).announce(load = 40, bundle = BundleVersion(7))
        val received = network.runUntil(LONG_MS) {
            allHosts.all { network.view(it).members[SimulatedNetwork.host(8)]?.load == 40 }
        }
        assertThat(received).isTrue()
        val member = network.view(0).members[SimulatedNetwork.host(8)]
        assertThat(member?.bundle).isEqualTo(BundleVersion(7))
    }

    @Example
    fun `a member that left is removed after its retention time`() {
        settle()
        network.table(7).leave()
        network.run(LONG_MS)
        network.kill(7)
        network.run(LONG_MS + MembershipSettings().leftRetentionMs)
        assertThat(network.state(seenBy = 0, of = 7)).isNull()
    }

    private fun settle() {
        check(network.runUntil(JOIN_MS) { allHosts.all { sees(it, HOSTS) } })
        network.run(LONG_MS)
    }

    private fun sees(index: Int, count: Int) = network.view(index).live().size == count

    private fun isDead(seenBy: Int, of: Int) = network.state(seenBy, of) == MemberState.DEAD

    private fun isLeaving(seenBy: Int, of: Int) = network.state(seenBy, of) == MemberState.LEAVING

    private fun allAlive() = allHosts.all { a ->
        allHosts.all { b -> network.state(a, b) == MemberState.ALIVE }
    }

    private fun refOf(seenBy: Int, of: Int) =
        network.view(seenBy).members[SimulatedNetwork.host(of)]?.ref

    private companion object {
        const val HOSTS = 9
        const val JOIN_MS = 3_000L
        const val DETECTION_MS = 3_000L
        const val LONG_MS = 10_000L
        const val HOUR_MS = 3_600_000L
    }
}
