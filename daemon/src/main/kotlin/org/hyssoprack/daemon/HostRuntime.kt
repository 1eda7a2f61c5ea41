package org.hyssoprack.daemon

import arrow.core.Either
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.modules.plus
import org.hyssoprack.backend.http.HttpEngineClient
import org.hyssoprack.backend.http.HttpServiceClient
import org.hyssoprack.claims.DefaultClaimService
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.SystemClock
import org.hyssoprack.common.eq
import org.hyssoprack.host.Admission
import org.hyssoprack.host.BackendWatcher
import org.hyssoprack.host.Drain
import org.hyssoprack.host.EntryTask
import org.hyssoprack.host.FleetBuilder
import org.hyssoprack.host.FleetTracker
import org.hyssoprack.host.MembershipObserver
import org.hyssoprack.host.MessageRouter
import org.hyssoprack.host.OwnerTask
import org.hyssoprack.host.RequestRegistry
import org.hyssoprack.host.RequestService
import org.hyssoprack.host.RetryCoordinator
import org.hyssoprack.host.hostMessages
import org.hyssoprack.link.Link
import org.hyssoprack.link.tcp.TcpLink
import org.hyssoprack.membership.Member
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.RendezvousOwnership
import org.hyssoprack.membership.SwimMembership
import org.hyssoprack.membership.TableMemberDirectory
import org.hyssoprack.membership.memberMessages
import org.hyssoprack.orders.DefaultOrderService
import org.hyssoprack.scheduling.DefaultEntryScheduler
import org.hyssoprack.scheduling.DefaultOwnerScheduler
import org.hyssoprack.scheduling.slotMessages
import org.hyssoprack.settings.BundleMessages
import org.hyssoprack.settings.DefaultBundleHolder
import org.hyssoprack.settings.DefaultBundleService

/** Creates and connects the components of one entry host. */
internal class HostRuntime private constructor(
    private val settings: DaemonSettings,
    private val self: HostRef,
    private val link: Link,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val log: EventLog
) {
    private val platform = PlatformClients(settings)
    private val engines = HttpEngineClient()
    private val services = HttpServiceClient()
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    private val membership = SwimMembership(
        self = Member(
            ref = self,
            linkAddress = settings.advertisedLink,
            callerAddress = settings.callers,
            domain = settings.domain,
            region = settings.region
        ),
        link = link,
        seeds = settings.peers,
        directory = TableMemberDirectory(platform.table),
        clock = clock,
        log = log
    )

    private val bundles = DefaultBundleHolder(
        scope = scope,
        table = platform.table,
        objects = platform.objects,
        sendToPeer = link::send,
        peers = ::livePeers,
        peersReachable = { membership.view.value.reachableShare },
        clock = clock,
        log = log
    )

    private val entry = EntryTask(
        scheduler = DefaultEntryScheduler(self = self, ownDomain = settings.domain),
        clock = clock,
        send = link::send
    )

    private val owner = OwnerTask(
        scheduler = DefaultOwnerScheduler(self = self),
        clock = clock,
        send = link::send
    )

    private val fleet = FleetTracker(
        hostList = platform.hostList,
        membership = membership,
        bundles = bundles,
        builder = FleetBuilder(RendezvousOwnership()),
        log = log,
        onFleet = { fleet ->
            entry.updateFleet(fleet)
            owner.updateFleet(fleet)
        }
    )

    private val watcher = BackendWatcher(
        self = self.host,
        fleet = fleet,
        owner = owner,
        engines = engines,
        services = services,
        clock = clock,
        send = link::send,
        log = log
    )

    private val requests = RequestRegistry(clock = clock, giveUpWaiting = entry::giveUp)
    private val retries = RetryCoordinator(self = self, registry = requests, send = link::send)
    private val burn = BurnRecorder(self.host, bundles, clock)
    private val recorder = CompositeOutcomeRecorder(listOf(MetricsRecorder(registry), burn))

    private val service = RequestService(
        self = self,
        registry = requests,
        retries = retries,
        entry = entry,
        fleet = fleet,
        engines = engines,
        services = services,
        claims = DefaultClaimService(table = platform.table, scope = scope, log = log),
        clock = clock,
        log = log,
        recorder = recorder
    )

    private val orders = DefaultOrderService(
        self = self,
        table = platform.table,
        weights = platform.weights,
        engines = engines,
        clock = clock,
        log = log
    )

    private val drain = Drain(
        membership = membership,
        clock = clock,
        log = log,
        addressTtlMs = settings.addressTtlMs
    )

    private val report = HostReport(settings, membership, fleet, owner)
    private val bodies = BodyReader(settings.maxBodyBytes)

    private val callerServer = CallerServer(
        self = self,
        address = settings.callers,
        admission = Admission(self = self, bundles = bundles, clock = clock),
        completions = CompletionResponder(service),
        services = ServiceResponder(service),
        relay = PeerRelay(service = service, peers = ::relayTargets, log = log),
        drain = drain,
        bodies = bodies,
        recorder = recorder,
        callerHosts = report::callerHosts
    )

    private val operatorServer = OperatorServer(
        address = settings.operators,
        operatorKeys = settings.operatorKeys,
        bundles = DefaultBundleService(
            table = platform.table,
            objects = platform.objects,
            log = log,
            peersReachable = { membership.view.value.reachableShare },
            onAccepted = { bundles.refresh() }
        ),
        holder = bundles,
        state = report,
        burn = burn,
        orders = OrderEndpoint(orders = orders, server = fleet::server),
        bodies = bodies,
        drain = drain::begin,
        metrics = registry::scrape,
        log = log
    )

    private fun start() {
        membership.start(scope)
        bundles.start()
        entry.start(scope)
        owner.start(scope)
        fleet.start(scope)
        watcher.start(scope)
        MessageRouter(link, membership, bundles, entry, owner, retries, watcher, log).start(scope)
        MembershipObserver(self, membership, owner, bundles).start(scope)
        scope.launch { announce() }
        callerServer.start()
        operatorServer.start()
        log.event("started", "host" eq self, "callers" eq settings.callers)
    }

    /**
     * Takes the host out of service. Returns when no call is in progress and the link is closed.
     */
    suspend fun drainAndWait() {
        drain.begin()
        drain.awaitIdle()
        link.close()
    }

    private suspend fun announce() {
        while (true) {
            val load = minOf(
                MAX_LOAD_PERCENT,
                entry.inProgress * MAX_LOAD_PERCENT / FULL_LOAD_REQUESTS
            )
            val version = bundles.active.value?.version ?: BundleVersion.NONE
            membership.announce(load = load, bundle = version)
            delay(ANNOUNCE_INTERVAL_MS)
        }
    }

    private fun livePeers(): List<HostId> =
        membership.view.value.live().map { it.ref.host }.filter { it != self.host }

    private fun relayTargets(): List<Member> = membership.view.value.members.values
        .filter { it.ref != self && it.state == MemberState.ALIVE }
        .sortedBy { it.load }

    companion object {
        private const val ANNOUNCE_INTERVAL_MS = 200L
        private const val FULL_LOAD_REQUESTS = 200
        private const val MAX_LOAD_PERCENT = 100

        private val MESSAGES = slotMessages + hostMessages + memberMessages +
            BundleMessages.module

        /**
         * Starts a host in [scope]. Fails with HOST_UNREACHABLE if the link address cannot be
         * bound.
         */
        suspend fun start(
            settings: DaemonSettings,
            scope: CoroutineScope,
            log: EventLog,
            clock: Clock = SystemClock
        ): Either<Failure, HostRuntime> {
            val self = HostRef(settings.host, newIncarnation(clock))
            return TcpLink.open(
                self = self,
                listen = settings.link,
                messages = MESSAGES,
                advertised = settings.advertisedLink,
                clock = clock,
                log = log
            ).map { link ->
                HostRuntime(settings, self, link, scope, clock, log).also { it.start() }
            }
        }

        private fun newIncarnation(clock: Clock) = Incarnation(clock.epochMs())
    }
}
