package org.hyssoprack.bench.capacity

import java.util.PriorityQueue
import kotlin.random.Random
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.Region
import org.hyssoprack.link.tcp.MessageSizes
import org.hyssoprack.membership.Member
import org.hyssoprack.membership.MemberDigest
import org.hyssoprack.membership.MemberMessage
import org.hyssoprack.membership.MemberProfile
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.MemberStatus
import org.hyssoprack.membership.MemberTable
import org.hyssoprack.membership.MembershipAction
import org.hyssoprack.membership.MembershipSettings
import org.hyssoprack.membership.memberMessages

/**
 * Simulates the member tables of [count] hosts over an in-memory network in virtual time. All hosts
 * start with the full member list. Uses the production [MemberTable] and encoded message sizes.
 */
internal class MemberSimulation(private val count: Int, seed: Long = 1) {
    private class InFlightMessage(
        val dueMs: Long,
        val from: HostRef,
        val to: Int,
        val message: MemberMessage
    )

    private val settings = MembershipSettings()
    private val random = Random(seed)
    private val sizes = MessageSizes(memberMessages)
    private val members = (0 until count).map { member(it, incarnation = 1) }.toMutableList()
    private val tables = arrayOfNulls<MemberTable>(count)
    private val inFlight = PriorityQueue<InFlightMessage>(compareBy { it.dueMs })
    private val isolated = HashSet<Int>()

    /** Messages sent since the last [MessageTraffic.clear]. */
    val traffic = MessageTraffic()

    /** CPU time spent in the member tables since [resetCost], in nanoseconds. */
    var tableNanos = 0L
        private set

    var nowMs = 0L
        private set

    init {
        val digests = members.map { digestOf(it) }
        for (index in 0 until count) tables[index] = fullTable(index, digests)
    }

    /** Resets [traffic] and [tableNanos]. */
    fun resetCost() {
        traffic.clear()
        tableNanos = 0
    }

    fun run(forMs: Long) {
        val endMs = nowMs + forMs
        while (nowMs < endMs) step()
    }

    /**
     * Runs until [done] returns true. Returns the elapsed virtual time in milliseconds, or null
     * after [limitMs].
     */
    fun runUntil(limitMs: Long, done: () -> Boolean): Long? {
        val startMs = nowMs
        val checkMs = maxOf(TICK_MS, count / MEMBERS_PER_CHECK_MS / TICK_MS * TICK_MS)
        while (nowMs - startMs < limitMs) {
            if (done()) return nowMs - startMs
            run(checkMs)
        }
        return null
    }

    /** Stops [hosts] without a leave message. */
    fun kill(hosts: Iterable<Int>) = hosts.forEach { tables[it] = null }

    /** Restarts host [index] with a new incarnation; its member list holds only a seed. */
    fun restart(index: Int) {
        members[index] = member(index, members[index].ref.incarnation.value + 1)
        tables[index] = MemberTable(members[index], settings, Random(random.nextLong()), nowMs)
        execute(index, table(index).join(members[(index + 1) % count].linkAddress))
    }

    /** Partitions [hosts] from all other hosts; an empty list heals the partition. */
    fun isolate(hosts: Iterable<Int>) {
        isolated.clear()
        isolated += hosts
    }

    /** Returns true if every running host of [observers] lists each of [hosts] in [state]. */
    fun allHaveState(observers: Iterable<Int>, hosts: Iterable<Int>, state: MemberState): Boolean =
        observers.all { index ->
            val seen = tables[index]?.view()?.members
            seen == null || hosts.all { seen[members[it].ref.host].isIn(it, state) }
        }

    /** Returns the share of its known peers that host [index] can reach. */
    fun reachableShare(index: Int): Double = table(index).view().reachableShare

    private fun Member?.isIn(index: Int, state: MemberState): Boolean =
        this != null && this.state == state && ref == members[index].ref

    private fun fullTable(index: Int, digests: List<MemberDigest>): MemberTable {
        val table = MemberTable(members[index], settings, Random(random.nextLong()), nowMs)
        val other = members[(index + 1) % count]
        table.receive(nowMs, other.ref, MemberMessage.Sync(MemberStatus(), digests))
        return table
    }

    private fun step() {
        nowMs += TICK_MS
        deliver()
        for (index in 0 until count) {
            val table = tables[index] ?: continue
            execute(index, timed { table.tick(nowMs) })
        }
    }

    private fun deliver() {
        while (true) {
            val next = inFlight.peek() ?: return
            if (next.dueMs > nowMs) return
            inFlight.poll()
            val table = tables[next.to] ?: continue
            execute(next.to, timed { table.receive(nowMs, next.from, next.message) })
        }
    }

    private fun <T> timed(work: () -> T): T {
        val startNanos = Meter.threadCpuNanos()
        val result = work()
        tableNanos += Meter.threadCpuNanos() - startNanos
        return result
    }

    private fun execute(index: Int, outputs: List<MembershipAction>) = outputs.forEach {
        when (it) {
            is MembershipAction.Send -> send(index, it.to.value.drop(1).toInt(), it.message)
            is MembershipAction.SendTo -> send(index, it.address.port - BASE_PORT, it.message)
            is MembershipAction.Changed, is MembershipAction.Expired -> Unit
        }
    }

    private fun send(from: Int, to: Int, message: MemberMessage) {
        val type = message::class.simpleName.orEmpty()
        traffic.add(type, sizes.bytes(message) ?: error("$type could not be encoded"))
        if ((from in isolated) != (to in isolated)) return
        inFlight +=
            InFlightMessage(
                nowMs + random.nextLong(1, MAX_DELAY_MS),
                members[from].ref,
                to,
                message
            )
    }

    private fun table(index: Int): MemberTable =
        tables[index] ?: error("host $index is not running")

    companion object {
        private const val TICK_MS = 50L
        private const val MAX_DELAY_MS = 20L
        private const val MEMBERS_PER_CHECK_MS = 4
        private const val BASE_PORT = 20_000
        private const val DOMAINS = 10
        private const val REGIONS = 3
        private const val START_MS = 1_764_000_000_000

        /** Returns the member entry of host [index] in a large deployment. */
        fun member(index: Int, incarnation: Long): Member = Member(
            ref = HostRef(HostId("h$index"), Incarnation(START_MS + incarnation)),
            linkAddress = NetworkAddress("10.20.${index / 250}.${index % 250}", BASE_PORT + index),
            callerAddress = NetworkAddress("10.20.${index / 250}.${index % 250}", 8_100),
            domain = FailureDomain("domain-${index % DOMAINS}"),
            region = Region("region-${index % DOMAINS % REGIONS}")
        )

        /** Returns the digest of [member], including its profile. */
        fun digestOf(member: Member): MemberDigest = MemberDigest(
            host = member.ref.host,
            incarnation = member.ref.incarnation,
            profile = MemberProfile(
                linkAddress = member.linkAddress,
                callerAddress = member.callerAddress,
                domain = member.domain,
                region = member.region
            )
        )
    }
}
