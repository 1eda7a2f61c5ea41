package org.hyssoprack.settings

import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostId

/** Events for the task that owns a [Rollout]. */
internal sealed interface RolloutEvent {
    data object Tick : RolloutEvent

    data object Refresh : RolloutEvent

    data class PeerVersion(val peer: HostId, val version: BundleVersion) : RolloutEvent

    data class Message(val from: HostId, val message: BundleMessage) : RolloutEvent

    data class RowRead(val startedAtMs: Long, val row: AcceptedBundle?) : RolloutEvent

    data object RowFailed : RolloutEvent

    data class BodyRead(val ref: BundleRef, val json: String) : RolloutEvent
}
