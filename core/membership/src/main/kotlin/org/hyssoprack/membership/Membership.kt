package org.hyssoprack.membership

import kotlinx.coroutines.flow.StateFlow
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostRef

/** Finds out by probing which hosts are alive, and spreads members' digests. */
interface Membership {
    /** The current view. */
    val view: StateFlow<MemberView>

    /** Handles a message of a peer. */
    fun receive(from: HostRef, message: MemberMessage)

    /** Sets what peers shall learn of this host with the next probes. */
    fun announce(load: Int, bundle: BundleVersion)

    /** Tells peers that this host is leaving. */
    fun leave()
}
