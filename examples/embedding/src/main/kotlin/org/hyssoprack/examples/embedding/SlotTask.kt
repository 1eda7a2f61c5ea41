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
 * The slot table of one host: both schedulers, driven by one task.
 *
 * @param work runs a request that was dispatched; its slot is freed when it returns.
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
    private val steps = Channel<() -> Unit>(Channel.UNLIMITED)

    suspend fun run() {
        while (true) {
            while (steps.tryReceive().onSuccess { it() }.isSuccess) Unit
            val nowMs = clock.nowMs()
            owner(owner.tick(nowMs))
            entry(entry.tick(nowMs))
            delay(EntryScheduler.TICK_MS)
        }
    }

    fun updateFleet(fleet: Fleet) = step {
        owner(owner.updateFleet(clock.nowMs(), fleet))
        entry(entry.updateFleet(clock.nowMs(), fleet))
    }

    fun submit(request: WaitingRequest) = step { entry(entry.submit(clock.nowMs(), request)) }

    fun receive(from: HostRef, message: SlotMessage) = step {
        owner(owner.receive(clock.nowMs(), from, message))
        entry(entry.receive(clock.nowMs(), from, message))
    }

    private fun step(work: () -> Unit) {
        steps.trySend(work)
    }

    private fun owner(outputs: List<OwnerOutput>) = outputs.forEach { link.send(it.to, it.message) }

    private fun entry(outputs: List<EntryOutput>) = outputs.forEach {
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

    private fun finished(id: RequestId) = step {
        val report = FinishReport(firstTokenMs = null, tokenMs = null)
        entry(entry.finished(clock.nowMs(), id, report))
    }
}
