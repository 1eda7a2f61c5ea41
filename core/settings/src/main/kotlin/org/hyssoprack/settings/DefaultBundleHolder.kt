package org.hyssoprack.settings

import arrow.core.raise.either
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.Clock
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.eq
import org.hyssoprack.store.ObjectStore
import org.hyssoprack.store.TableService

/**
 * [BundleHolder] whose state is confined to one task; other tasks send it events.
 *
 * @param sendToPeer queues a message to a peer without blocking.
 * @param peers the live peers, without this host.
 * @param peersReachable share of the listed peers that answer probes, from 0 to 1.
 */
class DefaultBundleHolder(
    private val scope: CoroutineScope,
    private val table: TableService,
    private val objects: ObjectStore,
    private val sendToPeer: (HostId, BundleMessage) -> Unit,
    private val peers: () -> List<HostId>,
    private val peersReachable: () -> Double,
    private val clock: Clock,
    private val log: EventLog,
    private val compiler: BundleCompiler = BundleCompiler(),
    random: Random = Random.Default
) : BundleHolder {
    override val active: StateFlow<ActiveBundle?> get() = activeState

    private val activeState = MutableStateFlow<ActiveBundle?>(null)
    private val events = Channel<RolloutEvent>(Channel.UNLIMITED)
    private val rollout = Rollout(peers, peersReachable, random)
    private var body = ""

    @Volatile
    private var snapshot = BundleSnapshot()

    /** Starts the tasks, which run until the scope is cancelled. */
    fun start() {
        scope.launch { for (event in events) handle(event) }
        scope.launch {
            while (isActive) {
                events.send(RolloutEvent.Tick)
                delay(TICK_MS)
            }
        }
    }

    /**
     * Checks for a newer version at once; to be called after one was accepted through this host.
     */
    fun refresh() = post(RolloutEvent.Refresh)

    override fun onPeerVersion(peer: HostId, version: BundleVersion) {
        val known = active.value?.version ?: BundleVersion.NONE
        if (version > known) post(RolloutEvent.PeerVersion(peer, version))
    }

    override fun receive(from: HostRef, message: BundleMessage) =
        post(RolloutEvent.Message(from.host, message))

    override fun isCurrent(nowMs: Long): Boolean = current(nowMs) != null

    override fun current(nowMs: Long): ActiveBundle? {
        val latest = snapshot
        return latest.bundle.takeIf { latest.freshness.isCurrent(nowMs) }
    }

    private fun post(event: RolloutEvent) {
        events.trySend(event)
    }

    private fun handle(event: RolloutEvent) {
        when (event) {
            is RolloutEvent.Tick -> Unit
            is RolloutEvent.Refresh -> rollout.refresh()
            is RolloutEvent.PeerVersion -> rollout.onPeerVersion(event.peer, event.version)
            is RolloutEvent.Message -> handleMessage(event.from, event.message)
            is RolloutEvent.RowRead -> rollout.rowRead(event.startedAtMs, event.row)
            is RolloutEvent.RowFailed -> rollout.rowFailed(clock.nowMs())
            is RolloutEvent.BodyRead -> bodyArrived(event.ref, event.json)
        }
        rollout.tick(clock.nowMs()).forEach { run(it) }
        publishSnapshot()
    }

    private fun handleMessage(from: HostId, message: BundleMessage) {
        when (message) {
            is BundleMessage.Ask ->
                sendToPeer(from, rollout.state(message.sequence, clock.nowMs()))

            is BundleMessage.State -> rollout.stateFrom(from, message)

            is BundleMessage.Fetch -> sendBody(from, message.version)

            is BundleMessage.Body ->
                bodyArrived(BundleRef(message.version, message.hash), message.json)
        }
    }

    private fun sendBody(to: HostId, version: BundleVersion) {
        val ref = rollout.active ?: return
        if (ref.version < version) return
        sendToPeer(to, BundleMessage.Body(ref.version, ref.hash, body))
    }

    private fun bodyArrived(ref: BundleRef, json: String) {
        if (!rollout.needsBody(ref)) return
        if (ContentHash.of(json) != ref.hash) {
            log.event("bundle-body-corrupt", "version" eq ref.version, "hash" eq ref.hash)
            return
        }
        compiler.activate(ref.version, ref.hash, json).fold(
            ifLeft = { failure ->
                rollout.rejected()
                log.event("bundle-rejected", "version" eq ref.version, "error" eq failure)
            },
            ifRight = { adopt(ref, json, it) }
        )
    }

    private fun adopt(ref: BundleRef, json: String, bundle: ActiveBundle) {
        body = json
        rollout.adopted(ref, clock.nowMs()).forEach { run(it) }
        activeState.value = bundle
        publishSnapshot()
        log.event("bundle-in-force", "version" eq ref.version, "hash" eq ref.hash)
    }

    private fun publishSnapshot() {
        val before = snapshot
        if (before.freshness === rollout.freshness && before.bundle === activeState.value) return
        snapshot = BundleSnapshot(bundle = activeState.value, freshness = rollout.freshness)
    }

    private fun run(action: RolloutAction) {
        when (action) {
            is RolloutAction.ReadRow -> scope.launch { post(readRow()) }
            is RolloutAction.Send -> sendToPeer(action.peer, action.message)
            is RolloutAction.GetBody -> scope.launch { getBody(action) }
        }
    }

    private suspend fun readRow(): RolloutEvent {
        val startedAtMs = clock.nowMs()
        val result = either {
            table.read(BundleRows.ACCEPTED).bind()?.let { BundleRows.accepted(it).bind() }
        }
        return result.fold(
            ifLeft = { RolloutEvent.RowFailed },
            ifRight = { RolloutEvent.RowRead(startedAtMs, it) }
        )
    }

    private suspend fun getBody(action: RolloutAction.GetBody) {
        val bytes = objects.get(action.hash).getOrNull() ?: return
        val ref = BundleRef(action.version, action.hash)
        post(RolloutEvent.BodyRead(ref, bytes.decodeToString()))
    }

    private companion object {
        const val TICK_MS = 100L
    }
}
