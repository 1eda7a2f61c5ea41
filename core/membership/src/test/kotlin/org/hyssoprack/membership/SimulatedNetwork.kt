package org.hyssoprack.membership

import kotlin.random.Random
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.Region

/** Runs the [MemberTable]s of several hosts over an in-memory network in virtual time. */
internal class SimulatedNetwork(
    count: Int,
    seed: Long = 1,
    private val settings: MembershipSettings = MembershipSettings()
) {
    private class PendingMessage(
        val dueMs: Long,
        val from: HostRef,
        val to: Int,
        val message: MemberMessage
    )

    private class Node(val member: Member, val table: MemberTable)

    private val random = Random(seed)
    private val nodes = HashMap<Int, Node>()
    private val pending = ArrayList<PendingMessage>()
    private val cut = HashSet<Path>()
    private val paused = HashSet<Int>()
    private val incarnations = HashMap<Int, Long>()

    data class Path(val from: Int, val to: Int)

    var nowMs = 0L
        private set
    var lossPercent = 0

    init {
        repeat(count) { start(it) }
    }

    /** Starts host [index], or a later run of it, with host 0 or 1 as the seed. */
    fun start(index: Int) {
        val member = member(index, incarnations.merge(index, 1, Long::plus) ?: 1)
        val table = MemberTable(member, settings, Random(random.nextLong()), nowMs)
        nodes[index] = Node(member, table)
        val seed = if (index == 0) 1 else 0
        perform(index, table.join(address(seed)))
    }

    fun kill(index: Int) {
        nodes.remove(index)
    }

    fun pause(index: Int) {
        paused += index
    }

    fun resume(index: Int) {
        paused -= index
    }

    fun table(index: Int): MemberTable = nodes.getValue(index).table

    fun view(index: Int): MemberView = table(index).view()

    fun state(seenBy: Int, of: Int): MemberState? = view(seenBy).members[host(of)]?.state

    /** Drops all messages between the two groups, or only those from [a] to [b] if [oneWay]. */
    fun cut(a: Iterable<Int>, b: Iterable<Int>, oneWay: Boolean = false) {
        for (x in a) for (y in b) cutPair(x, y, oneWay)
    }

    fun heal() = cut.clear()

    fun run(forMs: Long) {
        val endMs = nowMs + forMs
        while (nowMs < endMs) step()
    }

    /** Runs until [done] returns true; returns false if that takes longer than [limitMs]. */
    fun runUntil(limitMs: Long, done: () -> Boolean): Boolean {
        val endMs = nowMs + limitMs
        while (nowMs < endMs) {
            if (done()) return true
            step()
        }
        return done()
    }

    private fun cutPair(x: Int, y: Int, oneWay: Boolean) {
        if (x == y) return
        cut += Path(x, y)
        if (!oneWay) cut += Path(y, x)
    }

    private fun step() {
        nowMs += STEP_MS
        deliver()
        if (nowMs % TICK_MS != 0L) return
        for (index in nodes.keys.sorted()) {
            if (index !in paused) perform(index, table(index).tick(nowMs))
        }
    }

    private fun deliver() {
        val due = pending.filter { it.dueMs <= nowMs && it.to !in paused }
        pending.removeAll(due.toSet())
        for (item in due) {
            val node = nodes[item.to] ?: continue
            perform(item.to, node.table.receive(nowMs, item.from, item.message))
        }
    }

    private fun perform(index: Int, actions: List<MembershipAction>) {
        for (action in actions) {
            when (action) {
                is MembershipAction.Send -> post(index, indexOf(action.to), action.message)
                is MembershipAction.SendTo -> post(
                    index,
                    action.address.port - PORT,
                    action.message
                )
                is MembershipAction.Changed, is MembershipAction.Expired -> Unit
            }
        }
    }

    private fun post(from: Int, to: Int, message: MemberMessage) {
        if (Path(from, to) in cut || random.nextInt(PERCENT) < lossPercent) return
        val dueMs = nowMs + random.nextLong(1, MAX_DELAY_MS)
        pending += PendingMessage(dueMs, nodes.getValue(from).member.ref, to, message)
    }

    companion object {
        private const val STEP_MS = 10L
        private const val TICK_MS = 50L
        private const val MAX_DELAY_MS = 20L
        private const val PERCENT = 100
        private const val PORT = 10_000

        fun host(index: Int): HostId = HostId("h$index")

        fun indexOf(host: HostId): Int = host.value.drop(1).toInt()

        fun address(index: Int): NetworkAddress = NetworkAddress("127.0.0.1", PORT + index)

        fun member(index: Int, incarnation: Long = 1): Member = Member(
            ref = HostRef(host(index), Incarnation(incarnation)),
            linkAddress = address(index),
            callerAddress = address(index),
            domain = FailureDomain("d${index % 3}"),
            region = Region("r")
        )
    }
}
