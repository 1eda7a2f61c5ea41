package org.hyssoprack.membership

import kotlin.random.Random
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress

/**
 * SWIM protocol state machine of one host: maintains the membership list and decides which messages
 * to send. Does no I/O and starts no threads; all times are monotonic, in milliseconds.
 *
 * @param self this host's run.
 * @param startMs time at which the host starts.
 */
class MemberTable(
    private val self: Member,
    private val settings: MembershipSettings,
    private val random: Random,
    startMs: Long
) {
    private val local = LocalMember(self)
    private val memberList = MemberList(local, settings)
    private val antiEntropy = AntiEntropy(local, memberList)
    private val probes = ProbeTracker(settings)
    private val targets = ProbeTargetSelector(random)
    private var memberCount = 1
    private var cached: CachedView? = null
    private var lastTickMs = startMs
    private var nextProbeMs = startMs
    private var nextDeadProbeMs = startMs
    private var nextAntiEntropyMs = startMs + settings.antiEntropyIntervalMs
    private var nextCompareRequestMs = startMs

    private class CachedView(val version: Long, val view: MemberView)

    /** Sends due probes and processes expired timeouts; to be called about every 100 ms. */
    fun tick(nowMs: Long): List<MembershipAction> {
        memberCount = memberList.memberCount
        if (nowMs - lastTickMs > settings.pauseThresholdMs) resumeAfterPause(nowMs)
        lastTickMs = nowMs
        val out = mutableListOf<MembershipAction>()
        out += probeIndirectly(nowMs)
        probes.removeTimedOut(nowMs).forEach { out += memberList.suspect(nowMs, it.target) }
        out += memberList.expireSuspicions(nowMs)
        if (nowMs >= nextProbeMs) out += probeNext(nowMs)
        if (nowMs >= nextDeadProbeMs) out += probeDead(nowMs)
        if (nowMs >= nextAntiEntropyMs) out += compareWithRandom(nowMs)
        out += memberList.removeExpired(nowMs)
        return out
    }

    /** Handles a message from a peer. */
    fun receive(nowMs: Long, from: HostRef, message: MemberMessage): List<MembershipAction> {
        if (from.host == self.ref.host) return emptyList()
        val out = mutableListOf<MembershipAction>()
        val isGossip = message !is MemberMessage.Sync
        message.digests.forEach { out += memberList.merge(nowMs, it, relay = isGossip) }
        out += memberList.mergeStatus(nowMs, from, message.status)
        if (!memberList.hasRun(from)) out += compareWithUnknown(nowMs, from)
        out += answer(nowMs, from, message)
        return out
    }

    /** Sets the status that is sent to peers; [load] in percent of the request capacity. */
    fun announce(load: Int, bundle: BundleVersion) = local.announce(load, bundle)

    /** Marks this host as leaving and gossips it to peers. */
    fun leave() {
        if (local.leave()) memberList.gossipLocal()
    }

    /** Sends a join request to the host at [seed], which answers with its membership list. */
    fun join(seed: NetworkAddress): List<MembershipAction> {
        val message = MemberMessage.Join(local.status, listOf(local.digest()))
        return listOf(MembershipAction.SendTo(seed, message))
    }

    /** The current view; the same instance as long as nothing has changed. */
    fun view(): MemberView {
        val version = memberList.version + local.version
        val members = cached?.takeIf { it.version == version }?.view?.members ?: members()
        val reachableShare = reachableShare()
        val old = cached?.view
        if (old != null &&
            old.members === members &&
            old.reachableShare == reachableShare
        ) {
            return old
        }
        val view = MemberView(members = members, reachableShare = reachableShare)
        cached = CachedView(version, view)
        return view
    }

    private fun members(): Map<HostId, Member> {
        val peers = memberList.all.associate { it.digest.host to it.toMember() }
        return peers + (self.ref.host to local.member())
    }

    // Members that left are not counted, as they do not indicate a partition. Dead members are
    // counted until their retention time has passed.
    private fun reachableShare(): Double {
        if (local.isSuperseded) return 0.0
        val notAlive = memberList.notAlive
        val alive = memberList.size - notAlive.size
        val lost = notAlive.count { !it.left && it.digest.state != MemberState.LEAVING }
        val counted = alive + lost
        if (counted == 0) return 1.0
        return minOf(alive / counted.toDouble(), probes.answeredShare(counted))
    }

    // After a pause of the process all timers have expired at once, which is no evidence that a
    // peer has failed.
    private fun resumeAfterPause(nowMs: Long) {
        probes.clear()
        nextProbeMs = nowMs
        memberList.restartSuspicions(nowMs)
    }

    private fun probeNext(nowMs: Long): List<MembershipAction> {
        nextProbeMs = nowMs + settings.probeIntervalMs(memberCount)
        val host = targets.next(::peers) { memberList[it]?.isDead == false } ?: return emptyList()
        val target = memberList[host]?.digest?.ref ?: return emptyList()
        return listOf(ping(target.host, probes.start(nowMs, target).sequence))
    }

    private fun peers(): List<HostId> = memberList.all.map { it.digest.host }

    private fun ping(to: HostId, sequence: Long): MembershipAction =
        send(to, MemberMessage.Ping(sequence, local.status, updatesFor(to)))

    private fun probeIndirectly(nowMs: Long): List<MembershipAction> =
        probes.takeIndirectDue(nowMs).flatMap { probe ->
            relays(probe.target.host).map { indirectPing(relay = it, probe = probe) }
        }

    private fun indirectPing(relay: HostId, probe: Probe): MembershipAction {
        val target = probe.target.host
        val updates = updatesFor(relay)
        val message = MemberMessage.IndirectPing(probe.sequence, target, local.status, updates)
        return send(relay, message)
    }

    private fun relays(target: HostId): List<HostId> = memberList.all
        .filter { it.digest.state == MemberState.ALIVE && it.digest.host != target }
        .map { it.digest.host }
        .shuffled(random)
        .take(settings.indirectProbes)

    private fun probeDead(nowMs: Long): List<MembershipAction> {
        nextDeadProbeMs = nowMs + settings.deadProbeIntervalMs
        val dead = memberList.notAlive.filter { it.isDead && !it.left }
        val host = dead.randomOrNull(random)?.digest?.host ?: return emptyList()
        return listOf(ping(host, probes.untrackedSequence()))
    }

    private fun compareWithRandom(nowMs: Long): List<MembershipAction> {
        nextAntiEntropyMs = nowMs + settings.antiEntropyIntervalMs
        val alive = memberList.all.filter { it.digest.state == MemberState.ALIVE }
        val host = alive.randomOrNull(random)?.digest?.host ?: return emptyList()
        return listOf(send(host, antiEntropy.request(updatesFor(host))))
    }

    private fun compareWithUnknown(nowMs: Long, from: HostRef): List<MembershipAction> {
        if (nowMs < nextCompareRequestMs) return emptyList()
        nextCompareRequestMs = nowMs + COMPARE_REQUEST_INTERVAL_MS
        return listOf(send(from.host, antiEntropy.request(updatesFor(from.host))))
    }

    private fun answer(nowMs: Long, from: HostRef, message: MemberMessage): List<MembershipAction> {
        val output = when (message) {
            is MemberMessage.Ping -> send(from.host, pong(from.host, message))
            is MemberMessage.IndirectPing -> probeOnBehalf(nowMs, from, message)
            is MemberMessage.Pong -> relayPong(message)
            is MemberMessage.Join -> send(from.host, fullSync())
            is MemberMessage.Compare -> antiEntropy.answer(message)?.let { send(from.host, it) }
            is MemberMessage.Differ -> antiEntropy.answer(message)?.let { send(from.host, it) }
            is MemberMessage.Sync -> null
        }
        return listOfNotNull(output)
    }

    private fun pong(to: HostId, ping: MemberMessage.Ping): MemberMessage =
        MemberMessage.Pong(ping.sequence, local.status, about = null, digests = updatesFor(to))

    private fun fullSync(): MemberMessage = MemberMessage.Sync(local.status, memberList.digests())

    private fun probeOnBehalf(
        nowMs: Long,
        from: HostRef,
        message: MemberMessage.IndirectPing
    ): MembershipAction? {
        val target = memberList[message.target]?.digest?.ref ?: return null
        val probe = probes.start(nowMs, target, from.host, message.sequence)
        return ping(target.host, probe.sequence)
    }

    private fun relayPong(pong: MemberMessage.Pong): MembershipAction? {
        val probe = probes.complete(pong.sequence) ?: return null
        val origin = probe.origin ?: return null
        val updates = updatesFor(origin)
        val answer = MemberMessage.Pong(probe.originSequence, local.status, probe.target, updates)
        return send(origin, answer)
    }

    private fun updatesFor(host: HostId): List<MemberDigest> =
        memberList.updatesFor(host, memberCount)

    private fun send(to: HostId, message: MemberMessage): MembershipAction =
        MembershipAction.Send(to, message)

    private companion object {
        // Minimum time between comparisons requested because of messages from unknown senders.
        const val COMPARE_REQUEST_INTERVAL_MS = 200L
    }
}
