package org.hyssoprack.host

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.scheduling.EntryOutput
import org.hyssoprack.scheduling.EntryScheduler
import org.hyssoprack.scheduling.FinishReport
import org.hyssoprack.scheduling.Fleet
import org.hyssoprack.scheduling.SlotMessage
import org.hyssoprack.scheduling.WaitingRequest

/**
 * Serializes access to the [EntryScheduler] of one host: other components send it commands. No
 * other component decides which request is dispatched; each decision is signalled to the coroutine
 * that serves the request.
 */
class EntryTask(
    private val scheduler: EntryScheduler,
    private val clock: Clock,
    private val send: (HostId, HostMessage) -> Unit
) {
    private val commands = Channel<EntryCommand>(Channel.UNLIMITED)
    private val signals = HashMap<RequestId, SendChannel<RequestSignal>>()

    /** Number of requests that are waiting or running. */
    @Volatile
    var inProgress: Int = 0
        private set

    /** Starts the task in [scope]. */
    fun start(scope: CoroutineScope): Job = scope.launch {
        launch { sendTicks() }
        for (command in commands) {
            handle(command)
            inProgress = scheduler.inProgress()
        }
    }

    /** Submits a request for scheduling. Returns the channel that receives its signals. */
    fun submit(request: WaitingRequest): ReceiveChannel<RequestSignal> {
        val channel = Channel<RequestSignal>(Channel.UNLIMITED)
        commands.trySend(EntryCommand.Submit(request = request, signals = channel))
        return channel
    }

    /**
     * Records the first token of a dispatched request, [elapsedMs] milliseconds after its dispatch.
     */
    fun firstToken(id: RequestId, elapsedMs: Long) {
        commands.trySend(EntryCommand.FirstToken(id = id, elapsedMs = elapsedMs))
    }

    /** Records the end of a dispatched request. */
    fun finished(id: RequestId, report: FinishReport) {
        commands.trySend(EntryCommand.Finished(id = id, report = report))
    }

    /** Records that a request is suspended on its backend server. */
    fun suspended(id: RequestId) {
        commands.trySend(EntryCommand.Suspended(id))
    }

    /** Withdraws a waiting request. Returns false if it was dispatched or is unknown. */
    suspend fun giveUp(id: RequestId): Boolean {
        val answer = CompletableDeferred<Boolean>()
        commands.trySend(EntryCommand.GiveUp(id = id, answer = answer))
        return answer.await()
    }

    /** Handles a message from an owner. */
    fun receive(from: HostRef, message: SlotMessage) {
        commands.trySend(EntryCommand.Received(from = from, message = message))
    }

    /** Replaces the scheduler's fleet. */
    fun updateFleet(fleet: Fleet) {
        commands.trySend(EntryCommand.FleetChanged(fleet))
    }

    /** Records a change of a server's prefix cache. */
    fun cacheChanged(server: BackendServerId, prefixHash: Long, stored: Boolean) {
        commands.trySend(EntryCommand.CacheChanged(server, prefixHash, stored))
    }

    /** Rejects all waiting requests with [failure]. */
    fun rejectWaiting(failure: Failure) {
        commands.trySend(EntryCommand.RejectWaiting(failure))
    }

    private suspend fun sendTicks() {
        while (true) {
            delay(EntryScheduler.TICK_MS)
            commands.send(EntryCommand.Tick)
        }
    }

    private fun handle(command: EntryCommand) {
        val now = clock.nowMs()
        when (command) {
            is EntryCommand.Submit -> {
                signals[command.request.id] = command.signals
                apply(scheduler.submit(now, command.request))
            }

            is EntryCommand.FirstToken ->
                apply(scheduler.firstToken(now, command.id, command.elapsedMs))

            is EntryCommand.Finished -> {
                signals.remove(command.id)
                apply(scheduler.finished(now, command.id, command.report))
            }

            is EntryCommand.Suspended -> apply(scheduler.suspended(now, command.id))

            is EntryCommand.GiveUp -> giveUp(now, command)

            is EntryCommand.Received ->
                apply(scheduler.receive(now, command.from, command.message))

            is EntryCommand.FleetChanged -> apply(scheduler.updateFleet(now, command.fleet))

            is EntryCommand.CacheChanged ->
                scheduler.cacheChanged(command.server, command.prefixHash, command.stored)

            is EntryCommand.RejectWaiting ->
                apply(scheduler.rejectWaiting(now, command.failure))

            EntryCommand.Tick -> apply(scheduler.tick(now))
        }
    }

    private fun giveUp(now: Long, command: EntryCommand.GiveUp) {
        val outputs = scheduler.giveUp(now, command.id)
        if (outputs != null) {
            signals.remove(command.id)?.close()
            apply(outputs)
        }
        command.answer.complete(outputs != null)
    }

    private fun apply(outputs: List<EntryOutput>) = outputs.forEach(::apply)

    private fun apply(output: EntryOutput) {
        when (output) {
            is EntryOutput.Send -> send(output.to, output.message)

            is EntryOutput.Dispatch ->
                signal(output.requestId, RequestSignal.Dispatch(output.server))

            is EntryOutput.Reject -> {
                signal(output.requestId, RequestSignal.Reject(output.failure))
                signals.remove(output.requestId)
            }

            is EntryOutput.Preempt ->
                signal(output.requestId, RequestSignal.Preempt(output.suspend))

            is EntryOutput.Resume -> signal(output.requestId, RequestSignal.Resume)
        }
    }

    private fun signal(id: RequestId, signal: RequestSignal) {
        signals[id]?.trySend(signal)
    }
}
