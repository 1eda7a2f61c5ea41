package org.hyssoprack.examples.embedding

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.onSuccess
import kotlinx.coroutines.delay
import org.hyssoprack.common.Clock
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.link.Link
import org.hyssoprack.scheduling.DefaultEntryScheduler
import org.hyssoprack.scheduling.DefaultOwnerScheduler
import org.hyssoprack.scheduling.EntryOutput
import org.hyssoprack.scheduling.EntryScheduler
import org.hyssoprack.scheduling.FinishReport
import org.hyssoprack.scheduling.Fleet
import org.hyssoprack.scheduling.OwnerOutput
import org.hyssoprack.scheduling.SlotMessage
import org.hyssoprack.scheduling.WaitingRequest

/**
 * Runs the entry and owner schedulers of one host in a single coroutine.
 *
 * @param work runs a dispatched request; its slot is released when [work] returns.
 */
internal class SlotTask(
    self: HostRef,
    domain: FailureDomain,
    private val link: Link,
    private val clock: Clock,
    private val work: (EntryOutput.Dispatch) -> Unit
) {
    private val entry = DefaultEntryScheduler(self = self, ownDomain = domain)
    private val owner = DefaultOwnerScheduler(self = self)
    private val commands = Channel<() -> Unit>(Channel.UNLIMITED)

    suspend fun run() {
        while (true) {
            while (commands.tryReceive().onSuccess { it() }.isSuccess) Unit
            val nowMs = clock.nowMs()
            sendAll(owner.tick(nowMs))
            handleAll(entry.tick(nowMs))
            delay(EntryScheduler.TICK_MS)
        }
    }

    fun updateFleet(fleet: Fleet) = enqueue {
        sendAll(owner.updateFleet(clock.nowMs(), fleet))
        handleAll(entry.updateFleet(clock.nowMs(), fleet))
    }

    fun submit(request: WaitingRequest) = enqueue {
        handleAll(entry.submit(clock.nowMs(), request))
    }

    fun receive(from: HostRef, message: SlotMessage) = enqueue {
        sendAll(owner.receive(clock.nowMs(), from, message))
        handleAll(entry.receive(clock.nowMs(), from, message))
    }

    private fun enqueue(work: () -> Unit) {
        commands.trySend(work)
    }

    private fun sendAll(outputs: List<OwnerOutput>) = outputs.forEach {
        link.send(it.to, it.message)
    }

    private fun handleAll(outputs: List<EntryOutput>) = outputs.forEach {
        when (it) {
            is EntryOutput.Send -> link.send(it.to, it.message)
            is EntryOutput.Dispatch -> dispatch(it)
            is EntryOutput.Reject -> println("rejected ${it.requestId}: ${it.failure}")
            is EntryOutput.Preempt, is EntryOutput.Resume -> Unit
        }
    }

    private fun dispatch(output: EntryOutput.Dispatch) {
        work(output)
        finished(output.requestId)
    }

    private fun finished(id: RequestId) = enqueue {
        val report = FinishReport(firstTokenMs = null, tokenMs = null)
        handleAll(entry.finished(clock.nowMs(), id, report))
    }
}
