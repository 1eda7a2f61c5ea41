package org.hyssoprack.membership

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.SystemClock
import org.hyssoprack.common.TaskSupervisor
import org.hyssoprack.common.eq
import org.hyssoprack.common.msUntilMultipleOf
import org.hyssoprack.link.Link

/**
 * [Membership] with a SWIM protocol between hosts: one task runs the [MemberTable].
 *
 * @param self this host's run.
 * @param link sends the messages; the owner of the link passes received messages to [receive].
 * @param seeds link addresses of the hosts in the settings that join requests are sent to.
 * @param directory persistent list of hosts; null to join through [seeds] only.
 */
class SwimMembership(
    private val self: Member,
    private val link: Link,
    seeds: List<NetworkAddress>,
    directory: MemberDirectory? = null,
    private val settings: MembershipSettings = MembershipSettings(),
    private val clock: Clock = SystemClock,
    private val log: EventLog = NoOpEventLog,
    private val random: Random = Random.Default
) : Membership {
    private val table = MemberTable(self, settings, random, clock.nowMs())
    private val seeds = (seeds - self.linkAddress).toMutableSet()
    private val commands = Channel<MemberCommand>(COMMAND_LIMIT)
    private val directoryTask = directory?.let { directory ->
        DirectoryTask(self, directory, log) { commands.send(MemberCommand.AddSeeds(it)) }
    }
    private val expired = Channel<HostRef>(COMMAND_LIMIT)
    private val restored = Channel<Unit>(Channel.CONFLATED)
    private val unseenHosts = UnseenHosts()
    private val ownership = RendezvousOwnership()
    private val current = MutableStateFlow(table.view())
    private var nextTickMs = clock.nowMs()
    private var nextJoinMs = clock.nowMs()

    override val view: StateFlow<MemberView> = current.asStateFlow()

    /** Starts the tasks in [scope]; they run until it is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch { run() }
        if (directoryTask != null) scope.launch { maintainDirectory(directoryTask) }
    }

    /** Starts the tasks; one that throws is started again. */
    fun start(tasks: TaskSupervisor) {
        tasks.launch("membership") { run() }
        if (directoryTask == null) return
        tasks.launch("member-directory") { maintainDirectory(directoryTask) }
    }

    override fun receive(from: HostRef, message: MemberMessage) {
        commands.trySend(MemberCommand.Receive(from, message))
    }

    override fun announce(load: Int, bundle: BundleVersion) {
        commands.trySend(MemberCommand.Announce(load, bundle))
    }

    override fun leave() {
        commands.trySend(MemberCommand.Leave)
    }

    /**
     * Registers this host again and looks for hosts that it does not know, since the directory may
     * have been restored from an older copy.
     */
    fun storeRestored() {
        restored.trySend(Unit)
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun maintainDirectory(directoryTask: DirectoryTask) {
        directoryTask.join()
        while (true) {
            select {
                expired.onReceive { directoryTask.remove(it) }
                restored.onReceive { joinAgain(directoryTask) }
                onTimeout(ALONE_CHECK_INTERVAL_MS) {}
            }
            if (current.value.members.size == 1) directoryTask.findSeeds()
        }
    }

    private suspend fun joinAgain(directoryTask: DirectoryTask) {
        delay(random.nextLong(settings.rejoinSpreadMs))
        directoryTask.join()
    }

    private suspend fun run() {
        while (true) {
            val command = nextCommand()
            if (command != null) handle(command)
            if (clock.nowMs() >= nextTickMs) tick()
            current.value = view()
        }
    }

    private fun view(): MemberView {
        val view = table.view()
        val unseen = unseenHosts.count(view.members, seeds)
        return if (unseen == 0) view else view.copy(unseenHosts = unseen)
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextCommand(): MemberCommand? = select {
        commands.onReceive { it }
        onTimeout((nextTickMs - clock.nowMs()).coerceAtLeast(0)) { null }
    }

    private fun handle(command: MemberCommand) {
        when (command) {
            is MemberCommand.Receive ->
                perform(table.receive(clock.nowMs(), command.from, command.message))

            is MemberCommand.Announce -> table.announce(command.load, command.bundle)
            is MemberCommand.AddSeeds -> seeds += command.addresses - self.linkAddress
            MemberCommand.Leave -> leaveNow()
        }
    }

    private fun leaveNow() {
        table.leave()
        log.event("member-leaving", "host" eq self.ref)
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        nextTickMs = nowMs + clock.msUntilMultipleOf(TICK_MS)
        perform(table.tick(nowMs))
        if (nowMs >= nextJoinMs) join(nowMs)
    }

    // A host without live peers joins at a short interval. Otherwise the host checks seeds that are
    // not the address of a live member: they may belong to a partition that has lasted longer than
    // the retention time of its members.
    private fun join(nowMs: Long) {
        val others = table.view().members.values.filter {
            it.ref != self.ref && it.state != MemberState.DEAD
        }
        val isAlone = others.isEmpty()
        nextJoinMs = nowMs + if (isAlone) settings.joinIntervalMs else SEED_CHECK_INTERVAL_MS
        val known = others.map { it.linkAddress }.toSet()
        val seed = (seeds - known).randomOrNull(random) ?: return
        perform(table.join(seed))
    }

    private fun perform(actions: List<MembershipAction>) {
        actions.forEach { perform(it) }
    }

    private fun perform(action: MembershipAction) {
        when (action) {
            is MembershipAction.Send -> link.send(action.to, action.message)
            is MembershipAction.SendTo -> link.sendTo(action.address, action.message)
            is MembershipAction.Changed -> changed(action)
            is MembershipAction.Expired -> requestRemoval(action)
        }
    }

    private fun changed(action: MembershipAction.Changed) {
        if (action.state != MemberState.DEAD) link.setAddress(action.ref.host, action.address)
        log.event(
            "member-changed",
            "host" eq action.ref,
            "state" eq action.state.name.lowercase()
        )
    }

    // One live host removes the row. It is selected like the owner of a backend server with the
    // name of the dead host.
    private fun requestRemoval(action: MembershipAction.Expired) {
        val name = BackendServerId(action.ref.host.value)
        val remover = ownership.owner(table.view(), name, action.domain)
        if (remover == self.ref.host) expired.trySend(action.ref)
    }

    private companion object {
        const val TICK_MS = 100L
        const val COMMAND_LIMIT = 4_096
        const val SEED_CHECK_INTERVAL_MS = 10_000L
        const val ALONE_CHECK_INTERVAL_MS = 5_000L
    }
}
