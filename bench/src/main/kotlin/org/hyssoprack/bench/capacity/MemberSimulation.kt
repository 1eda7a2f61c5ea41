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
 * The members' tables of [count] hosts that know each other, over a network in memory and virtual
 * time. The tables are the product's own; sizes are those of the encoded messages.
 */
internal class MemberSimulation(private val count: Int, seed: Long = 1) {
    private class Mail(val dueMs: Long, val from: HostRef, val to: Int, val message: MemberMessage)

    private val settings = MembershipSettings()
    private val random = Random(seed)
    private val sizes = MessageSizes(memberMessages)
    private val members = (0 until count).map { member(it, incarnation = 1) }.toMutableList()
    private val tables = arrayOfNulls<MemberTable>(count)
    private val mail = PriorityQueue<Mail>(compareBy { it.dueMs })
    private val cut = HashSet<Int>()

    /** What was sent since the last [Traffic.clear]. */
    val traffic = Traffic()

    /** Processor time spent in the tables since [resetCost], in nanoseconds. */
    var tableNanos = 0L
        private set

    var nowMs = 0L
        private set

    init {
        val digests = members.map { digestOf(it) }
        for (index in 0 until count) tables[index] = knowing(index, digests)
    }

    /** Starts the counting anew. */
    fun resetCost() {
        traffic.clear()
        tableNanos = 0
    }

    fun run(forMs: Long) {
        val endMs = nowMs + forMs
        while (nowMs < endMs) step()
    }

    /** Runs until [done] holds, and returns the time that it took; null if beyond [limitMs]. */
    fun runUntil(limitMs: Long, done: () -> Boolean): Long? {
        val startMs = nowMs
        val checkMs = maxOf(TICK_MS, count / MEMBERS_PER_CHECK_MS / TICK_MS * TICK_MS)
        while (nowMs - startMs < limitMs) {
            if (done()) return nowMs - startMs
            run(checkMs)
        }
        return null
    }

    /** Ends the processes of [hosts]. */
    fun kill(hosts: Iterable<Int>) = hosts.forEach { tables[it] = null }

    /** Starts host [index] anew, with nothing but a seed. */
    fun restart(index: Int) {
        members[index] = member(index, members[index].ref.incarnation.value + 1)
        tables[index] = MemberTable(members[index], settings, Random(random.nextLong()), nowMs)
        perform(index, table(index).join(members[(index + 1) % count].linkAddress))
    }

    /** Cuts [hosts] off from all others; an empty list heals the network. */
    fun cutOff(hosts: Iterable<Int>) {
        cut.clear()
        cut += hosts
    }

    /** True if every running host of [seenBy] sees each of [hosts] in state [state]. */
    fun allSee(seenBy: Iterable<Int>, hosts: Iterable<Int>, state: MemberState): Boolean =
        seenBy.all { index ->
            val seen = tables[index]?.view()?.members
            seen == null || hosts.all { seen[members[it].ref.host].isIn(it, state) }
        }

    /** Share of the known peers that host [index] reaches. */
    fun reachableShare(index: Int): Double = table(index).view().reachableShare

    private fun Member?.isIn(index: Int, state: MemberState): Boolean =
        this != null && this.state == state && ref == members[index].ref

    private fun knowing(index: Int, digests: List<MemberDigest>): MemberTable {
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
            perform(index, timed { table.tick(nowMs) })
        }
    }

    private fun deliver() {
        while (true) {
            val next = mail.peek() ?: return
            if (next.dueMs > nowMs) return
            mail.poll()
            val table = tables[next.to] ?: continue
            perform(next.to, timed { table.receive(nowMs, next.from, next.message) })
        }
    }

    private fun <T> timed(work: () -> T): T {
        val startNanos = Meter.threadCpuNanos()
        val result = work()
        tableNanos += Meter.threadCpuNanos() - startNanos
        return result
    }

    private fun perform(index: Int, outputs: List<MembershipAction>) = outputs.forEach {
        when (it) {
            is MembershipAction.Send -> post(index, it.to.value.drop(1).toInt(), it.message)
            is MembershipAction.SendTo -> post(index, it.address.port - BASE_PORT, it.message)
            is MembershipAction.Changed, is MembershipAction.Expired -> Unit
        }
    }

    private fun post(from: Int, to: Int, message: MemberMessage) {
        val type = message::class.simpleName.orEmpty()
        traffic.add(type, sizes.bytes(message) ?: error("no size of $type"))
        if ((from in cut) != (to in cut)) return
        mail += Mail(nowMs + random.nextLong(1, MAX_DELAY_MS), members[from].ref, to, message)
    }

    private fun table(index: Int): MemberTable = tables[index] ?: error("host $index has ended")

    companion object {
        private const val TICK_MS = 50L
        private const val MAX_DELAY_MS = 20L
        private const val MEMBERS_PER_CHECK_MS = 4
        private const val BASE_PORT = 20_000
        private const val DOMAINS = 10
        private const val REGIONS = 3
        private const val START_MS = 1_764_000_000_000

        /** Host [index] of a large deployment. */
        fun member(index: Int, incarnation: Long): Member = Member(
            ref = HostRef(HostId("h$index"), Incarnation(START_MS + incarnation)),
            linkAddress = NetworkAddress("10.20.${index / 250}.${index % 250}", BASE_PORT + index),
            callerAddress = NetworkAddress("10.20.${index / 250}.${index % 250}", 8_100),
            domain = FailureDomain("domain-${index % DOMAINS}"),
            region = Region("region-${index % DOMAINS % REGIONS}")
        )

        /** The digest of [member] with its profile. */
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
