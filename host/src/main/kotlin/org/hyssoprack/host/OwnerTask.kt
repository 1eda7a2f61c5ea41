package org.hyssoprack.host

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef
import org.hyssoprack.scheduling.EntryScheduler
import org.hyssoprack.scheduling.Fleet
import org.hyssoprack.scheduling.OwnerOutput
import org.hyssoprack.scheduling.OwnerScheduler
import org.hyssoprack.scheduling.ServerDigest
import org.hyssoprack.scheduling.SlotMessage

/** Serializes access to the [OwnerScheduler] of one host: other components send it commands. */
class OwnerTask(
    private val scheduler: OwnerScheduler,
    private val clock: Clock,
    private val send: (HostId, HostMessage) -> Unit
) {
    private val commands = Channel<OwnerCommand>(Channel.UNLIMITED)

    /** State of every owned server, at most one tick old. */
    @Volatile
    var digests: Map<BackendServerId, ServerDigest> = emptyMap()
        private set

    /** Starts the task in [scope]. */
    fun start(scope: CoroutineScope): Job = scope.launch {
        launch { sendTicks() }
        for (command in commands) handle(command).forEach(::deliver)
    }

    /** Handles a message from an entry host. */
    fun receive(from: HostRef, message: SlotMessage) {
        commands.trySend(OwnerCommand.Received(from = from, message = message))
    }

    /** Replaces the scheduler's fleet. */
    fun updateFleet(fleet: Fleet) {
        commands.trySend(OwnerCommand.FleetChanged(fleet))
    }

    /** Records the load that a backend server reported. */
    fun loadReported(server: BackendServerId, running: Int, queued: Int) {
        commands.trySend(OwnerCommand.LoadReported(server, running, queued))
    }

    /** Frees the slots of a host incarnation that is dead or no longer a member. */
    fun hostGone(host: HostRef) {
        commands.trySend(OwnerCommand.HostGone(host))
    }

    private suspend fun sendTicks() {
        while (true) {
            delay(EntryScheduler.TICK_MS)
            commands.send(OwnerCommand.Tick)
        }
    }

    private fun handle(command: OwnerCommand): List<OwnerOutput> {
        val now = clock.nowMs()
        return when (command) {
            is OwnerCommand.Received -> scheduler.receive(now, command.from, command.message)
            is OwnerCommand.FleetChanged -> scheduler.updateFleet(now, command.fleet)
            is OwnerCommand.LoadReported -> {
                scheduler.loadReported(now, command.server, command.running, command.queued)
                emptyList()
            }

            is OwnerCommand.HostGone -> scheduler.hostGone(now, command.host)
            OwnerCommand.Tick -> scheduler.tick(now).also { digests = scheduler.digests() }
        }
    }

    private fun deliver(output: OwnerOutput) = send(output.to, output.message)
}
