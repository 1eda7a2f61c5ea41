package org.hyssoprack.settings

import kotlin.random.Random
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.HostId

/**
 * Gets the body of the newest version known: from peers that have it first, then from the object
 * store, and so on in turn until it is here.
 */
internal class BodyFetcher(private val random: Random) {
    /** The version wanted; null if none is. */
    var version: BundleVersion? = null
        private set

    /** Hash of the wanted body; null while only peers have named the version. */
    var hash: ContentHash? = null
        private set

    /** Start of the latest read of the table service that gave the wanted version. */
    var provedAtMs: Long? = null
        private set

    private val holders = LinkedHashSet<HostId>()
    private var attempts = 0
    private var nextAtMs = 0L
    private var rejected = false

    fun want(newVersion: BundleVersion, newHash: ContentHash?, newProvedAtMs: Long?) {
        val known = version
        if (known != null && newVersion < known) return
        if (known == null || newVersion > known) restart(newVersion)
        hash = hash ?: newHash
        if (newProvedAtMs != null) provedAtMs = maxOf(newProvedAtMs, provedAtMs ?: newProvedAtMs)
    }

    fun heldBy(peer: HostId, itsVersion: BundleVersion) {
        if (itsVersion == version) holders += peer
    }

    fun clear() {
        version = null
        provedAtMs = null
    }

    /** True if peers named the version but did not deliver it, so that only the row can help. */
    fun needsHash(): Boolean = version != null && hash == null && attempts >= 2

    /** Stops trying, as the body cannot be compiled on this host. */
    fun reject() {
        rejected = true
    }

    /** The attempt that is due at [nowMs], if any. */
    fun due(nowMs: Long): RolloutAction? {
        val wanted = version ?: return null
        if (rejected || nowMs < nextAtMs) return null
        val peer = holders.randomOrNull(random)
        val known = hash
        val asksPeer = peer != null && (known == null || attempts % TURN != TURN - 1)
        if (!asksPeer && known == null) return null
        attempts++
        nextAtMs = nowMs + ATTEMPT_PERIOD_MS
        if (asksPeer) return RolloutAction.Send(peer, BundleMessage.Fetch(wanted))
        return RolloutAction.GetBody(wanted, known!!)
    }

    private fun restart(newVersion: BundleVersion) {
        version = newVersion
        hash = null
        provedAtMs = null
        holders.clear()
        attempts = 0
        nextAtMs = 0
        rejected = false
    }

    private companion object {
        /** A slow answer does not hold up the next attempt; the first body that arrives is used. */
        const val ATTEMPT_PERIOD_MS = 300L

        /** Of so many attempts one goes to the object store, the others to peers. */
        const val TURN = 3
    }
}
