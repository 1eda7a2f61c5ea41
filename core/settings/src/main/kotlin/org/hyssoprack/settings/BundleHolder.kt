package org.hyssoprack.settings

import kotlinx.coroutines.flow.StateFlow
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef

/** The accepted bundle on one host. It only ever moves to a higher version. */
interface BundleHolder {
    /** The bundle in force, or null before the first one. */
    val active: StateFlow<ActiveBundle?>

    /** Tells that [peer] has [version] in force, so that this host fetches it if it is newer. */
    fun onPeerVersion(peer: HostId, version: BundleVersion)

    /** Handles a rollout message of a peer. */
    fun receive(from: HostRef, message: BundleMessage)

    /**
     * True while the host can rule out that a newer bundle has been in force for longer than the
     * rollout bound: it has lately reached the table service, or most of its peers.
     */
    fun isCurrent(nowMs: Long): Boolean

    /**
     * The bundle to serve a request under that is taken in at [nowMs], or null if there is none or
     * the host is not current. [nowMs] must be read for that very request, as a process may have
     * been paused since any earlier reading.
     */
    fun current(nowMs: Long): ActiveBundle? = active.value.takeIf { isCurrent(nowMs) }
}
