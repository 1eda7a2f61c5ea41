package org.hyssoprack.settings

import kotlin.random.Random
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostId

/**
 * State machine that decides when a host reads the accepted row, polls peers and fetches bodies,
 * and whether the host is current. Has no clock and does no I/O: each input carries its time, and
 * each output is an action.
 */
internal class Rollout(
    private val peers: () -> List<HostId>,
    private val peersReachable: () -> Double,
    private val random: Random
) {
    var active: BundleRef? = null
        private set

    /** Evidence that [active] is still the accepted bundle. */
    var freshness = BundleFreshness()
        private set

    private val fetch = BodyFetcher(random)
    private val poll = RowPollSchedule(random)
    private val rounds = ArrayDeque<PeerPollRound>()
    private var lastSequence = 0L
    private var nextRoundAtMs = 0L
    private var peerContactAtMs: Long? = null

    /** Returns the actions that are due at [nowMs]; to be called about every 100 ms. */
    fun tick(nowMs: Long): List<RolloutAction> {
        val actions = mutableListOf<RolloutAction>()
        if (fetch.needsHash()) poll.pollNow()
        if (poll.isDue(nowMs)) actions += RolloutAction.ReadRow
        if (needsRound(nowMs)) actions += startRound(nowMs)
        fetch.due(nowMs)?.let { actions += it }
        return actions
    }

    /**
     * Handles a read of the accepted row that began at [startedAtMs]; [row] is null if there is
     * none.
     */
    fun rowRead(startedAtMs: Long, row: AcceptedBundle?) {
        poll.succeeded()
        if (row == null) return
        confirmed(BundleRef(row.version, row.hash), startedAtMs)
    }

    fun rowFailed(nowMs: Long) = poll.failed(nowMs)

    /** Makes a read of the accepted row due at the next tick, unless the last read failed. */
    fun refresh() = poll.pollNow()

    fun onPeerVersion(peer: HostId, version: BundleVersion) {
        if (version <= activeVersion()) return
        fetch.request(version, newHash = null, newConfirmedAtMs = null)
        fetch.addSource(peer, version)
        freshness = freshness.copy(isNewerKnown = true)
    }

    /** Builds the state message that is sent to a peer at [nowMs]. */
    fun state(sequence: Long, nowMs: Long): BundleMessage.State = BundleMessage.State(
        sequence = sequence,
        version = activeVersion(),
        hash = active?.hash,
        confirmedAgoMs = freshness.confirmedAtMs?.let { nowMs - it },
        settled = isSettled(nowMs)
    )

    fun stateFrom(peer: HostId, state: BundleMessage.State) {
        onPeerVersion(peer, state.version)
        val round = rounds.firstOrNull { it.sequence == state.sequence } ?: return
        val hash = state.hash
        val agoMs = state.confirmedAgoMs
        if (hash != null && agoMs != null && agoMs >= 0) {
            confirmed(BundleRef(state.version, hash), round.askedAtMs - agoMs)
        }
        round.answer(peer, state.settled)
        if (round.isComplete()) close(round)
    }

    /** True if the body of [ref] is to be compiled and put in force. */
    fun needsBody(ref: BundleRef): Boolean {
        val version = fetch.version ?: return false
        if (ref.version != version) return ref.version > version
        return fetch.hash == null || fetch.hash == ref.hash
    }

    /** Stops fetching the requested version, as its body cannot be compiled on this host. */
    fun rejected() = fetch.reject()

    /** Puts [ref] in force. Returns the state messages that notify peers. */
    fun adopted(ref: BundleRef, nowMs: Long): List<RolloutAction> {
        check(ref.version > activeVersion()) { "$ref is not above $active" }
        active = ref
        // A confirmation that no version above an earlier one was accepted also holds for a later
        // one.
        fetch.confirmedAtMs?.let { freshness = freshness.confirmed(it) }
        fetch.clear()
        freshness = freshness.copy(isNewerKnown = false)
        nextRoundAtMs = nowMs
        return sample().map { RolloutAction.Send(it, state(sequence = 0, nowMs = nowMs)) }
    }

    private fun isSettled(nowMs: Long): Boolean {
        // A host that has seen a newer version must not confirm the older one.
        if (fetch.version != null) return false
        val hasContact = BundleFreshness.isFresh(
            peerContactAtMs,
            nowMs,
            BundleFreshness.PEER_CONFIRMATION_TTL_MS
        )
        return hasContact || freshness.isConfirmed(nowMs)
    }

    private fun confirmed(ref: BundleRef, atMs: Long) {
        val known = active
        if (known != null && ref.version < known.version) return
        if (ref.version == known?.version) {
            freshness = freshness.confirmed(atMs)
            return
        }
        fetch.request(ref.version, newHash = ref.hash, newConfirmedAtMs = atMs)
        freshness = freshness.copy(isNewerKnown = true)
    }

    private fun needsRound(nowMs: Long): Boolean {
        if (nowMs < nextRoundAtMs) return false
        return !BundleFreshness.isFresh(freshness.confirmedAtMs, nowMs, ROUND_AFTER_MS)
    }

    private fun startRound(nowMs: Long): List<RolloutAction> {
        rounds.lastOrNull()?.let { close(it) }
        val asked = sample()
        lastSequence++
        rounds += PeerPollRound(lastSequence, askedAtMs = nowMs, asked = asked.toSet())
        while (rounds.size > MAX_ROUNDS) rounds.removeFirst()
        nextRoundAtMs = nowMs + ROUND_PERIOD_MS
        return asked.map { RolloutAction.Send(it, BundleMessage.Ask(lastSequence)) }
    }

    private fun close(round: PeerPollRound) {
        if (!round.hasHalfAnswered() || peersReachable() < MIN_REACHABLE) return
        peerContactAtMs = maxOf(round.askedAtMs, peerContactAtMs ?: round.askedAtMs)
        if (!round.hasHalfSettled() || fetch.version != null) return
        freshness = freshness.confirmedByPeers(round.askedAtMs)
    }

    private fun sample(): List<HostId> = peers().shuffled(random).take(SAMPLE_SIZE)

    private fun activeVersion(): BundleVersion = active?.version ?: BundleVersion.NONE

    private companion object {
        const val ROUND_AFTER_MS = 2_200L
        const val ROUND_PERIOD_MS = 500L
        const val SAMPLE_SIZE = 8
        const val MAX_ROUNDS = 8
        const val MIN_REACHABLE = 0.5
    }
}
