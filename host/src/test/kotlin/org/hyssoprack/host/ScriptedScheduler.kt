package org.hyssoprack.host

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.scheduling.EntryOutput
import org.hyssoprack.scheduling.EntryScheduler
import org.hyssoprack.scheduling.FinishReport
import org.hyssoprack.scheduling.Fleet
import org.hyssoprack.scheduling.SlotMessage
import org.hyssoprack.scheduling.WaitingRequest

/** Scheduler that returns the outputs of [onSubmit] for each submitted request. */
internal class ScriptedScheduler(private val onSubmit: (WaitingRequest) -> List<EntryOutput>) :
    EntryScheduler {
    val finished = mutableListOf<RequestId>()
    var queued = emptyList<EntryOutput>()

    override fun submit(nowMs: Long, request: WaitingRequest) = onSubmit(request)

    override fun firstToken(nowMs: Long, id: RequestId, elapsedMs: Long): List<EntryOutput> {
        val outputs = queued
        queued = emptyList()
        return outputs
    }

    override fun finished(nowMs: Long, id: RequestId, report: FinishReport): List<EntryOutput> {
        finished += id
        return emptyList()
    }

    override fun suspended(nowMs: Long, id: RequestId): List<EntryOutput> =
        listOf(EntryOutput.Resume(requestId = id, server = BackendServerId("e1")))

    override fun giveUp(nowMs: Long, id: RequestId): List<EntryOutput>? = null

    override fun receive(nowMs: Long, from: HostRef, message: SlotMessage) =
        emptyList<EntryOutput>()

    override fun updateFleet(nowMs: Long, fleet: Fleet) = emptyList<EntryOutput>()

    override fun cacheChanged(server: BackendServerId, prefixHash: Long, stored: Boolean) = Unit

    override fun tick(nowMs: Long) = emptyList<EntryOutput>()

    override fun inProgress() = 0

    override fun rejectWaiting(nowMs: Long, failure: Failure) = emptyList<EntryOutput>()
}
