package org.hyssoprack.settings

import kotlin.random.Random
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostId

/**
 * Decides when a host reads the accepted row, asks peers and fetches bodies, and whether it is
 * current. Holds no clock and does no I/O: each input carries its time, each output is an action.
 */
internal class Rollout(
    private val peers: () -> List<HostId>,
    private val peersReachable: () -> Double,
    private val random: Random
) {
    var active: BundleRef? = null
        private set

    /** What speaks for [active]. */
    var freshness = BundleFreshness()
        private set

    private val fetch = BodyFetcher(random)
    private val poll = RowPollSchedule(random)
    private val rounds = ArrayDeque<PeerPollRound>()
    private var lastSequence = 0L
    private var nextRoundAtMs = 0L
    private var contactAtMs: Long? = null

    /** Actions that are due at [nowMs]; to be called every 100 ms or so. */
    fun tick(nowMs: Long): List<RolloutAction> {
        val actions = mutableListOf<RolloutAction>()
        if (fetch.needsHash()) poll.hurry()
        if (poll.isDue(nowMs)) actions += RolloutAction.ReadRow
        if (needsRound(nowMs)) actions += startRound(nowMs)
        fetch.due(nowMs)?.let { actions += it }
        return actions
    }

    /** The accepted row was read; [startedAtMs] is when the read began. Null if there is no row. */
    fun rowRead(startedAtMs: Long, row: AcceptedBundle?) {
        poll.succeeded()
        if (row == null) return
        proved(BundleRef(row.version, row.hash), startedAtMs)
    }

    fun rowFailed(nowMs: Long) = poll.failed(nowMs)

    /** Reads the accepted row at the next tick. */
    fun refresh() = poll.hurry()

    fun onPeerVersion(peer: HostId, version: BundleVersion) {
        if (version <= activeVersion()) return
        fetch.want(version, newHash = null, newProvedAtMs = null)
        fetch.heldBy(peer, version)
        freshness = freshness.copy(knowsNewer = true)
    }

    /** Answers a peer that asked at [nowMs]. */
    fun state(sequence: Long, nowMs: Long): BundleMessage.State = BundleMessage.State(
        sequence = sequence,
        version = activeVersion(),
        hash = active?.hash,
        confirmedAgoMs = freshness.provedAtMs?.let { nowMs - it },
        settled = isWitness(nowMs)
    )

    fun stateFrom(peer: HostId, state: BundleMessage.State) {
        onPeerVersion(peer, state.version)
        val round = rounds.firstOrNull { it.sequence == state.sequence } ?: return
        val hash = state.hash
        val agoMs = state.confirmedAgoMs
        if (hash != null && agoMs != null && agoMs >= 0) {
            proved(BundleRef(state.version, hash), round.askedAtMs - agoMs)
        }
        round.answer(peer, state.settled)
        if (round.isComplete()) close(round)
    }

    /** True if a body of [ref] should be compiled and put in force. */
    fun wants(ref: BundleRef): Boolean {
        val version = fetch.version ?: return false
        if (ref.version != version) return ref.version > version
        return fetch.hash == null || fetch.hash == ref.hash
    }

    /** The body of the wanted version cannot be compiled here. */
    fun rejected() = fetch.reject()

    /** [ref] is in force from now on. Returns what peers are told. */
    fun adopted(ref: BundleRef, nowMs: Long): List<RolloutAction> {
        check(ref.version > activeVersion()) { "$ref is not above $active" }
        active = ref
        // A proof that no version above an earlier one was accepted holds for a later one, too.
        fetch.provedAtMs?.let { freshness = freshness.proved(it) }
        fetch.clear()
        freshness = freshness.copy(knowsNewer = false)
        nextRoundAtMs = nowMs
        return sample().map { RolloutAction.Send(it, state(sequence = 0, nowMs = nowMs)) }
    }

    private fun isWitness(nowMs: Long): Boolean {
        // A host that knows of a newer version must not speak for the older one.
        if (fetch.version != null) return false
        val hasContact = BundleFreshness.isFresh(
            contactAtMs,
            nowMs,
            BundleFreshness.WITNESS_TERM_MS
        )
        return hasContact || freshness.isProved(nowMs)
    }

    private fun proved(ref: BundleRef, atMs: Long) {
        val known = active
        if (known != null && ref.version < known.version) return
        if (ref.version == known?.version) {
            freshness = freshness.proved(atMs)
            return
        }
        fetch.want(ref.version, newHash = ref.hash, newProvedAtMs = atMs)
        freshness = freshness.copy(knowsNewer = true)
    }

    private fun needsRound(nowMs: Long): Boolean {
        if (nowMs < nextRoundAtMs) return false
        return !BundleFreshness.isFresh(freshness.provedAtMs, nowMs, ROUND_AFTER_MS)
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
        if (!round.hasContact() || peersReachable() < MIN_REACHABLE) return
        contactAtMs = maxOf(round.askedAtMs, contactAtMs ?: round.askedAtMs)
        if (!round.hasWitnesses() || fetch.version != null) return
        freshness = freshness.witnessed(round.askedAtMs)
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
