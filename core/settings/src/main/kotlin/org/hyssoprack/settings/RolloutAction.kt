package org.hyssoprack.settings

import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.HostId

/** What [Rollout] wants done. */
internal sealed interface RolloutAction {
    /** Read the accepted row, and report it or the failure. */
    data object ReadRow : RolloutAction

    /** Send [message] to [peer]. */
    data class Send(val peer: HostId, val message: BundleMessage) : RolloutAction

    /** Get the body from the object store, and report it or the failure. */
    data class GetBody(val version: BundleVersion, val hash: ContentHash) : RolloutAction
}
