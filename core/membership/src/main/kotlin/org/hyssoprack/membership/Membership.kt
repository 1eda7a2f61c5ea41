package org.hyssoprack.membership

import kotlinx.coroutines.flow.StateFlow
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostRef

/** Detects by probing which hosts are alive, and disseminates member digests. */
interface Membership {
    /** The current view. */
    val view: StateFlow<MemberView>

    /** Handles a message from a peer. */
    fun receive(from: HostRef, message: MemberMessage)

    /** Sets the load, in percent, and the bundle version that the next probes carry to peers. */
    fun announce(load: Int, bundle: BundleVersion)

    /** Announces to peers that this host is leaving. */
    fun leave()
}
