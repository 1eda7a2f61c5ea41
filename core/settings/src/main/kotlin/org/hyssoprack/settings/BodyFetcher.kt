package org.hyssoprack.settings

import kotlin.random.Random
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.HostId

/**
 * Schedules attempts to fetch the body of the newest known version. Attempts alternate between
 * peers that have the version, which come first, and the object store until the body has been
 * received.
 */
internal class BodyFetcher(private val random: Random) {
    /** The version to fetch; null if there is none. */
    var version: BundleVersion? = null
        private set

    /** Hash of the body to fetch; null while the version is known from peers only. */
    var hash: ContentHash? = null
        private set

    /** Start time of the latest read of the table service that returned [version]. */
    var confirmedAtMs: Long? = null
        private set

    private val sources = LinkedHashSet<HostId>()
    private var attempts = 0
    private var nextAtMs = 0L
    private var rejected = false

    fun request(newVersion: BundleVersion, newHash: ContentHash?, newConfirmedAtMs: Long?) {
        val known = version
        if (known != null && newVersion < known) return
        if (known == null || newVersion > known) restart(newVersion)
        hash = hash ?: newHash
        if (newConfirmedAtMs != null) {
            confirmedAtMs = maxOf(newConfirmedAtMs, confirmedAtMs ?: newConfirmedAtMs)
        }
    }

    fun addSource(peer: HostId, peerVersion: BundleVersion) {
        if (peerVersion == version) sources += peer
    }

    fun clear() {
        version = null
        confirmedAtMs = null
    }

    /**
     * True if peers reported the version but did not deliver its body. Only the accepted row can
     * then provide the hash for a read from the object store.
     */
    fun needsHash(): Boolean = version != null && hash == null && attempts >= 2

    /** Stops the attempts, as the body cannot be compiled on this host. */
    fun reject() {
        rejected = true
    }

    /** The attempt that is due at [nowMs], if any. */
    fun due(nowMs: Long): RolloutAction? {
        val requested = version ?: return null
        if (rejected || nowMs < nextAtMs) return null
        val peer = sources.randomOrNull(random)
        val knownHash = hash
        val asksPeer = peer != null &&
            (knownHash == null || attempts % STORE_READ_EVERY != STORE_READ_EVERY - 1)
        if (!asksPeer && knownHash == null) return null
        attempts++
        nextAtMs = nowMs + ATTEMPT_PERIOD_MS
        if (asksPeer) return RolloutAction.Send(peer, BundleMessage.Fetch(requested))
        return RolloutAction.GetBody(requested, knownHash!!)
    }

    private fun restart(newVersion: BundleVersion) {
        version = newVersion
        hash = null
        confirmedAtMs = null
        sources.clear()
        attempts = 0
        nextAtMs = 0
        rejected = false
    }

    private companion object {
        /**
         * Time between the starts of two attempts. A slow response does not delay the next attempt;
         * the first body that arrives is used.
         */
        const val ATTEMPT_PERIOD_MS = 300L

        /** One of this many attempts reads from the object store, the others ask peers. */
        const val STORE_READ_EVERY = 3
    }
}
