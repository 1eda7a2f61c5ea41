package org.hyssoprack.examples.embedding

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.serialization.modules.plus
import org.hyssoprack.claims.ClaimService
import org.hyssoprack.claims.DefaultClaimService
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.Generation
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.Region
import org.hyssoprack.common.SystemClock
import org.hyssoprack.link.ReceivedMessage
import org.hyssoprack.link.tcp.TcpLink
import org.hyssoprack.membership.Member
import org.hyssoprack.membership.MemberMessage
import org.hyssoprack.membership.MemberView
import org.hyssoprack.membership.RendezvousOwnership
import org.hyssoprack.membership.SwimMembership
import org.hyssoprack.membership.TableMemberDirectory
import org.hyssoprack.membership.memberMessages
import org.hyssoprack.policy.Pool
import org.hyssoprack.scheduling.EntryOutput
import org.hyssoprack.scheduling.Fleet
import org.hyssoprack.scheduling.FleetServer
import org.hyssoprack.scheduling.SlotMessage
import org.hyssoprack.scheduling.WaitingRequest
import org.hyssoprack.scheduling.slotMessages
import org.hyssoprack.settings.ActiveBundle
import org.hyssoprack.settings.BundleMessage
import org.hyssoprack.settings.BundleMessages
import org.hyssoprack.settings.BundleService
import org.hyssoprack.settings.DefaultBundleHolder
import org.hyssoprack.settings.DefaultBundleService

/** A host of an application that embeds the coordination modules without the daemon. */
class EmbeddedHost private constructor(
    val ref: HostRef,
    private val domain: FailureDomain,
    private val link: TcpLink,
    private val scope: CoroutineScope,
    table: MemoryTable,
    objects: MemoryObjects,
    work: (EntryOutput.Dispatch) -> Unit
) {
    private val ownership = RendezvousOwnership()
    private val slots = SlotTask(ref, domain, link, SystemClock, work)

    private val membership = SwimMembership(
        self = Member(
            ref = ref,
            linkAddress = link.address,
            callerAddress = link.address,
            domain = domain,
            region = Region("local")
        ),
        link = link,
        seeds = emptyList(),
        directory = TableMemberDirectory(table)
    )

    private val holder = DefaultBundleHolder(
        scope = scope,
        table = table,
        objects = objects,
        sendToPeer = link::send,
        peers = ::peers,
        peersReachable = { membership.view.value.reachableShare },
        clock = SystemClock,
        log = NoOpEventLog
    )

    /** Claims for calls that must run at most once. */
    val claims: ClaimService = DefaultClaimService(table = table, scope = scope)

    /** Operator actions on bundles: propose, sign off and accept. */
    val bundles: BundleService = DefaultBundleService(
        table = table,
        objects = objects,
        log = NoOpEventLog,
        onAccepted = { holder.refresh() }
    )

    /** Waits until the member view has [count] live hosts and most of them are reachable. */
    suspend fun awaitMembers(count: Int): MemberView =
        membership.view.first { it.live().size == count && it.reachableShare > MIN_REACHABLE_SHARE }

    /** Waits until a bundle is active on this host. */
    suspend fun awaitBundle(): ActiveBundle = holder.active.first { it != null }!!

    /** Sets the fleet to [servers] of [pool]; the owners are computed from the member view. */
    fun setServers(servers: List<BackendServerId>, pool: Pool) {
        val view = membership.view.value
        val fleetServers = servers.associateWith { server(it, pool, view) }
        slots.updateFleet(Fleet(servers = fleetServers, pools = mapOf(pool.name to pool)))
    }

    /** Submits [request] to the schedulers, which dispatch it at most once. */
    fun submit(request: WaitingRequest) = slots.submit(request)

    /** Announces to the peers that this host leaves, then closes the link. */
    suspend fun close() {
        membership.leave()
        link.close()
    }

    private fun start() {
        membership.start(scope)
        holder.start()
        scope.launch { slots.run() }
        scope.launch { for (received in link.incoming) route(received) }
    }

    private fun route(received: ReceivedMessage) {
        when (val message = received.message) {
            is MemberMessage -> membership.receive(received.from, message)
            is BundleMessage -> holder.receive(received.from, message)
            is SlotMessage -> slots.receive(received.from, message)
        }
    }

    private fun peers(): List<HostId> =
        membership.view.value.live().map { it.ref.host }.filter { it != ref.host }

    private fun server(id: BackendServerId, pool: Pool, view: MemberView) = FleetServer(
        id = id,
        pool = pool.name,
        domain = domain,
        generation = Generation("default"),
        owner = ownership.owner(view, id, domain) ?: ref.host,
        slots = SLOTS,
        canSuspend = false
    )

    companion object {
        private const val MIN_REACHABLE_SHARE = 0.5
        private const val SLOTS = 4
        private val MESSAGES = memberMessages + slotMessages + BundleMessages.module
        private val ANY_PORT = NetworkAddress("127.0.0.1", 0)

        /** Starts the host [name] in [scope]; [work] is called for each dispatched request. */
        suspend fun start(
            name: String,
            scope: CoroutineScope,
            table: MemoryTable,
            objects: MemoryObjects,
            work: (EntryOutput.Dispatch) -> Unit
        ): EmbeddedHost {
            val ref = HostRef(HostId(name), Incarnation(SystemClock.epochMs()))
            val link = TcpLink.open(self = ref, listen = ANY_PORT, messages = MESSAGES)
                .fold({ error(it.toString()) }, { it })
            val domain = FailureDomain("local")
            val host = EmbeddedHost(ref, domain, link, scope, table, objects, work)
            host.start()
            return host
        }
    }
}
