package org.hyssoprack.settings

import kotlinx.coroutines.flow.StateFlow
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef

/** Holds the bundle in force on one host. Its version never decreases. */
interface BundleHolder {
    /** The bundle in force, or null before the first one. */
    val active: StateFlow<ActiveBundle?>

    /** Handles the report that [peer] has [version] in force; a newer version is then fetched. */
    fun onPeerVersion(peer: HostId, version: BundleVersion)

    /** Handles a rollout message from a peer. */
    fun receive(from: HostRef, message: BundleMessage)

    /**
     * True while the host can exclude that a newer bundle has been in force for longer than the
     * rollout time limit: it has recently reached the table service, or at least half of the peers
     * it asked.
     */
    fun isCurrent(nowMs: Long): Boolean

    /**
     * Returns the bundle for a request that is admitted at [nowMs], or null if there is none or the
     * host is not current. [nowMs] must be read for each request, as the process may have been
     * paused since an earlier reading of the clock.
     */
    fun current(nowMs: Long): ActiveBundle? = active.value.takeIf { isCurrent(nowMs) }
}
