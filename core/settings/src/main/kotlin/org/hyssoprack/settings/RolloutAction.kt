package org.hyssoprack.settings

import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.HostId

/** Actions that a [Rollout] returns for its owner to execute. */
internal sealed interface RolloutAction {
    /** Read the accepted row, and report the row or the failure. */
    data object ReadRow : RolloutAction

    /** Send [message] to [peer]. */
    data class Send(val peer: HostId, val message: BundleMessage) : RolloutAction

    /** Read the body from the object store, and report it; a failed read is not reported. */
    data class GetBody(val version: BundleVersion, val hash: ContentHash) : RolloutAction
}
