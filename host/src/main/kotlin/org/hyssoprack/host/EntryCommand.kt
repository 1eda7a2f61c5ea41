package org.hyssoprack.host

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.SendChannel
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.scheduling.FinishReport
import org.hyssoprack.scheduling.Fleet
import org.hyssoprack.scheduling.SlotMessage
import org.hyssoprack.scheduling.WaitingRequest

/** Commands to the [EntryTask]. */
internal sealed interface EntryCommand {
    data class Submit(val request: WaitingRequest, val signals: SendChannel<RequestSignal>) :
        EntryCommand

    data class FirstToken(val id: RequestId, val elapsedMs: Long) : EntryCommand

    data class Finished(val id: RequestId, val report: FinishReport) : EntryCommand

    data class Suspended(val id: RequestId) : EntryCommand

    data class GiveUp(val id: RequestId, val answer: CompletableDeferred<Boolean>) : EntryCommand

    data class Received(val from: HostRef, val message: SlotMessage) : EntryCommand

    data class FleetChanged(val fleet: Fleet) : EntryCommand

    data class CacheChanged(
        val server: BackendServerId,
        val prefixHash: Long,
        val stored: Boolean
    ) : EntryCommand

    data class RejectWaiting(val failure: Failure) : EntryCommand

    data object Tick : EntryCommand
}
