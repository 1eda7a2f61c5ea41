package org.hyssoprack.membership

import kotlin.random.Random
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress

/**
 * Decides what one host believes of its peers and what it tells them. No I/O and no threads; all
 * times are the host's monotonic clock in milliseconds.
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
    private val own = LocalMember(self)
    private val beliefs = MemberList(own, settings)
    private val comparison = AntiEntropy(own, beliefs)
    private val probes = ProbeTracker(settings)
    private val order = ProbeTargetSelector(random)
    private var memberCount = 1
    private var shown: ShownView? = null
    private var lastTickMs = startMs
    private var nextProbeMs = startMs
    private var nextHealMs = startMs
    private var nextCompareMs = startMs + settings.antiEntropyIntervalMs
    private var nextAskMs = startMs

    private class ShownView(val version: Long, val view: MemberView)

    /** Does what time demands; called about every 100 ms. */
    fun tick(nowMs: Long): List<MembershipAction> {
        memberCount = beliefs.memberCount
        if (nowMs - lastTickMs > settings.pauseThresholdMs) resumeAfterPause(nowMs)
        lastTickMs = nowMs
        val out = mutableListOf<MembershipAction>()
        out += probeIndirectly(nowMs)
        probes.takeFailed(nowMs).forEach { out += beliefs.suspect(nowMs, it.target) }
        out += beliefs.endSuspicions(nowMs)
        if (nowMs >= nextProbeMs) out += probeNext(nowMs)
        if (nowMs >= nextHealMs) out += probeDead(nowMs)
        if (nowMs >= nextCompareMs) out += compareWithRandom(nowMs)
        out += beliefs.forgetOld(nowMs)
        return out
    }

    /** Handles a message of a peer. */
    fun receive(nowMs: Long, from: HostRef, message: MemberMessage): List<MembershipAction> {
        if (from.host == self.ref.host) return emptyList()
        val out = mutableListOf<MembershipAction>()
        val isNews = message !is MemberMessage.Sync
        message.digests.forEach { out += beliefs.learn(nowMs, it, spread = isNews) }
        out += beliefs.hear(nowMs, from, message.status)
        if (!beliefs.knows(from)) out += askUnknown(nowMs, from)
        out += answer(nowMs, from, message)
        return out
    }

    /** Sets what peers learn of this host; [load] in percent. */
    fun announce(load: Int, bundle: BundleVersion) = own.announce(load, bundle)

    /** Starts to tell peers that this host is leaving. */
    fun leave() {
        if (own.leave()) beliefs.spreadOwn()
    }

    /** Introduces this host to the one at [seed], and asks for the list of members. */
    fun join(seed: NetworkAddress): List<MembershipAction> {
        val message = MemberMessage.Join(own.current, listOf(own.digest()))
        return listOf(MembershipAction.SendTo(seed, message))
    }

    /** What this host believes now. */
    fun view(): MemberView {
        val version = beliefs.version + own.version
        val members = shown?.takeIf { it.version == version }?.view?.members ?: members()
        val reachableShare = reachableShare()
        val old = shown?.view
        if (old != null && old.members === members &&
            old.reachableShare == reachableShare
        ) {
            return old
        }
        val view = MemberView(members = members, reachableShare = reachableShare)
        shown = ShownView(version, view)
        return view
    }

    private fun members(): Map<HostId, Member> {
        val peers = beliefs.all.associate { it.digest.host to it.toMember() }
        return peers + (self.ref.host to own.member())
    }

    // Members that left are no sign of a partition; dead ones are, for as long as they are known.
    private fun reachableShare(): Double {
        if (own.isSuperseded) return 0.0
        val others = beliefs.others
        val alive = beliefs.size - others.size
        val lost = others.count { !it.left && it.digest.state != MemberState.LEAVING }
        val counted = alive + lost
        if (counted == 0) return 1.0
        return minOf(alive / counted.toDouble(), probes.answeredShare(counted))
    }

    // After a pause all timers have run out at once; none of that says anything about the peers.
    private fun resumeAfterPause(nowMs: Long) {
        probes.clear()
        nextProbeMs = nowMs
        beliefs.restartSuspicions(nowMs)
    }

    private fun probeNext(nowMs: Long): List<MembershipAction> {
        nextProbeMs = nowMs + settings.probeIntervalMs(memberCount)
        val host = order.next(::peers) { beliefs[it]?.isDead == false } ?: return emptyList()
        val target = beliefs[host]?.digest?.ref ?: return emptyList()
        return listOf(ping(target.host, probes.start(nowMs, target).sequence))
    }

    private fun peers(): List<HostId> = beliefs.all.map { it.digest.host }

    private fun ping(to: HostId, sequence: Long): MembershipAction =
        send(to, MemberMessage.Ping(sequence, own.current, newsFor(to)))

    private fun probeIndirectly(nowMs: Long): List<MembershipAction> =
        probes.takeIndirectDue(nowMs).flatMap { probe ->
            helpers(probe.target.host).map { askToProbe(helper = it, probe = probe) }
        }

    private fun askToProbe(helper: HostId, probe: Probe): MembershipAction {
        val target = probe.target.host
        val news = newsFor(helper)
        return send(helper, MemberMessage.IndirectPing(probe.sequence, target, own.current, news))
    }

    private fun helpers(target: HostId): List<HostId> = beliefs.all
        .filter { it.digest.state == MemberState.ALIVE && it.digest.host != target }
        .map { it.digest.host }
        .shuffled(random)
        .take(settings.indirectProbes)

    private fun probeDead(nowMs: Long): List<MembershipAction> {
        nextHealMs = nowMs + settings.deadProbeIntervalMs
        val dead = beliefs.others.filter { it.isDead && !it.left }
        val host = dead.randomOrNull(random)?.digest?.host ?: return emptyList()
        return listOf(ping(host, probes.untracked()))
    }

    private fun compareWithRandom(nowMs: Long): List<MembershipAction> {
        nextCompareMs = nowMs + settings.antiEntropyIntervalMs
        val alive = beliefs.all.filter { it.digest.state == MemberState.ALIVE }
        val host = alive.randomOrNull(random)?.digest?.host ?: return emptyList()
        return listOf(send(host, comparison.ask(newsFor(host))))
    }

    private fun askUnknown(nowMs: Long, from: HostRef): List<MembershipAction> {
        if (nowMs < nextAskMs) return emptyList()
        nextAskMs = nowMs + ASK_INTERVAL_MS
        return listOf(send(from.host, comparison.ask(newsFor(from.host))))
    }

    private fun answer(nowMs: Long, from: HostRef, message: MemberMessage): List<MembershipAction> {
        val output = when (message) {
            is MemberMessage.Ping -> send(from.host, pong(from.host, message))
            is MemberMessage.IndirectPing -> probeFor(nowMs, from, message)
            is MemberMessage.Pong -> passOn(message)
            is MemberMessage.Join -> send(from.host, list())
            is MemberMessage.Compare -> comparison.answer(message)?.let { send(from.host, it) }
            is MemberMessage.Differ -> comparison.answer(message)?.let { send(from.host, it) }
            is MemberMessage.Sync -> null
        }
        return listOfNotNull(output)
    }

    private fun pong(to: HostId, ping: MemberMessage.Ping): MemberMessage =
        MemberMessage.Pong(ping.sequence, own.current, about = null, digests = newsFor(to))

    private fun list(): MemberMessage = MemberMessage.Sync(own.current, beliefs.digests())

    private fun probeFor(
        nowMs: Long,
        from: HostRef,
        message: MemberMessage.IndirectPing
    ): MembershipAction? {
        val target = beliefs[message.target]?.digest?.ref ?: return null
        val probe = probes.start(nowMs, target, from.host, message.sequence)
        return ping(target.host, probe.sequence)
    }

    private fun passOn(pong: MemberMessage.Pong): MembershipAction? {
        val probe = probes.answered(pong.sequence) ?: return null
        val origin = probe.origin ?: return null
        val news = newsFor(origin)
        val answer = MemberMessage.Pong(probe.originSequence, own.current, probe.target, news)
        return send(origin, answer)
    }

    private fun newsFor(host: HostId): List<MemberDigest> = beliefs.newsFor(host, memberCount)

    private fun send(to: HostId, message: MemberMessage): MembershipAction =
        MembershipAction.Send(to, message)

    private companion object {
        const val ASK_INTERVAL_MS = 200L
    }
}
