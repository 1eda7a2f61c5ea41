package org.hyssoprack.settings

import java.util.PriorityQueue
import kotlin.random.Random
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.HostId
import org.hyssoprack.common.OperatorName

/**
 * Simulates several [Rollout]s with a table service, links and pauses in virtual time.
 *
 * Checks after each step that no host that would admit a request serves a version that was replaced
 * more than 4 s ago. This includes the first request after a pause.
 */
internal class RolloutSimulation(size: Int, private val random: Random) {
    val hosts = List(size) { Host(HostId("h$it")) }
    var nowMs = 100_000L
        private set
    var storeIsDown = false
    var lossPercent = 0
    val cutFromStore = HashSet<Host>()
    val cutLinks = HashSet<Set<Host>>()

    private val accepted = mutableListOf<Accepted>()
    private val queue = PriorityQueue<Delivery>(compareBy({ it.atMs }, { it.number }))
    private var deliveries = 0L

    val latest: BundleVersion get() = accepted.lastOrNull()?.row?.version ?: BundleVersion.NONE

    inner class Host(val id: HostId) {
        val rollout = Rollout(
            peers = { hosts.filter { it !== this }.map { it.id } },
            peersReachable = { reachable() },
            random = random
        )
        var pausedUntilMs = 0L
        var highest = BundleVersion.NONE
        val isPaused get() = nowMs < pausedUntilMs
        val version get() = rollout.active?.version ?: BundleVersion.NONE
        val isCurrent get() = rollout.active != null && rollout.freshness.isCurrent(nowMs)

        fun reachable(): Double {
            val peers = hosts.filter { it !== this }
            return peers.count { isLinked(this, it) && !it.isPaused }.toDouble() / peers.size
        }

        fun reachesStore() = !storeIsDown && this !in cutFromStore
    }

    /**
     * Accepts another bundle through [host], if it is running, reaches the store and half its
     * peers.
     */
    fun accept(host: Host) {
        if (host.isPaused || !host.reachesStore() || host.reachable() < 0.5) return
        val version = BundleVersion(latest.value + 1)
        val row = AcceptedBundle(version, hash(version), OperatorName("op"), "c$version")
        accepted += Accepted(row = row, atMs = nowMs)
        host.rollout.refresh()
    }

    fun run(forMs: Long) {
        val endMs = nowMs + forMs
        while (nowMs < endMs) {
            nowMs += STEP_MS
            hosts.forEach { check(it) }
            deliver()
            hosts.filter { !it.isPaused }.forEach { tick(it) }
            hosts.forEach { check(it) }
        }
    }

    private fun check(host: Host) {
        check(host.version >= host.highest) { "${host.id} went back to ${host.version}" }
        host.highest = host.version
        if (host.isPaused || !host.isCurrent) return
        val replaced = accepted.firstOrNull { it.row.version > host.version } ?: return
        check(nowMs - replaced.atMs <= BOUND_MS) {
            "${host.id} serves ${host.version} ${nowMs - replaced.atMs} ms after it was replaced"
        }
    }

    private fun tick(host: Host) {
        if (random.nextInt(TICK_STEPS) != 0) return
        perform(host, host.rollout.tick(nowMs))
        val peer = hosts.random(random)
        if (isLinked(host, peer)) peer.rollout.onPeerVersion(host.id, host.version)
    }

    private fun perform(host: Host, actions: List<RolloutAction>) {
        for (action in actions) {
            when (action) {
                is RolloutAction.ReadRow -> read(host)
                is RolloutAction.Send -> send(host, action)
                is RolloutAction.GetBody -> getBody(host, action)
            }
        }
    }

    private fun read(host: Host) {
        val startedAtMs = nowMs
        if (!host.reachesStore()) return later(host, TIMEOUT_MS) { host.rollout.rowFailed(nowMs) }
        // The row is read at some time between request and response.
        after(random.nextLong(1, MAX_READ_MS)) {
            val row = accepted.lastOrNull()?.row
            later(host, random.nextLong(1, MAX_READ_MS)) { host.rollout.rowRead(startedAtMs, row) }
        }
    }

    private fun getBody(host: Host, action: RolloutAction.GetBody) {
        if (!host.reachesStore()) return
        later(host, MAX_READ_MS) { adopt(host, BundleRef(action.version, action.hash)) }
    }

    private fun send(from: Host, action: RolloutAction.Send) {
        val to = hosts.first { it.id == action.peer }
        if (!isLinked(from, to) || random.nextInt(100) < lossPercent) return
        later(to, random.nextLong(1, MAX_LINK_MS)) { receive(to, from, action.message) }
    }

    private fun receive(to: Host, from: Host, message: BundleMessage) {
        when (message) {
            is BundleMessage.Ask -> {
                val state = to.rollout.state(message.sequence, nowMs)
                send(to, RolloutAction.Send(from.id, state))
            }

            is BundleMessage.State -> to.rollout.stateFrom(from.id, message)

            is BundleMessage.Fetch -> {
                val ref = to.rollout.active ?: return
                if (ref.version < message.version) return
                val body = BundleMessage.Body(ref.version, ref.hash, json = "")
                send(to, RolloutAction.Send(from.id, body))
            }

            is BundleMessage.Body -> adopt(to, BundleRef(message.version, message.hash))
        }
    }

    private fun adopt(host: Host, ref: BundleRef) {
        if (host.rollout.needsBody(ref)) perform(host, host.rollout.adopted(ref, nowMs))
    }

    private fun isLinked(a: Host, b: Host) = a !== b && setOf(a, b) !in cutLinks

    /** Runs [action] on [host] after [delayMs], or once it is no longer paused. */
    private fun later(host: Host, delayMs: Long, action: () -> Unit) {
        after(delayMs) {
            val waitMs = host.pausedUntilMs - nowMs
            if (waitMs > 0) later(host, waitMs, action) else action()
        }
    }

    private fun after(delayMs: Long, action: () -> Unit) {
        queue += Delivery(atMs = nowMs + delayMs, number = deliveries++, action = action)
    }

    private fun deliver() {
        while (queue.isNotEmpty() && queue.peek().atMs <= nowMs) queue.poll().action()
    }

    private fun hash(version: BundleVersion) = ContentHash.of("body $version")

    private class Accepted(val row: AcceptedBundle, val atMs: Long)

    private class Delivery(val atMs: Long, val number: Long, val action: () -> Unit)

    companion object {
        const val BOUND_MS = 4_000L
        private const val STEP_MS = 20L
        private const val TICK_STEPS = 5
        private const val TIMEOUT_MS = 1_000L
        private const val MAX_READ_MS = 60L
        private const val MAX_LINK_MS = 20L
    }
}
