package org.hyssoprack.gateway.forwarding.slots

import arrow.core.Either
import arrow.core.getOrElse
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.eq
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.serving.limits.QuotaLedger
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.queue.QueuedRequest
import org.hyssoprack.serving.settings.Account

/**
 * Grants the slots of all backend servers to the hosts that request them, in one order over the
 * fleet, and enforces the quotas. Any host serves the requests that it receives; the hosts choose
 * one owner by hashing over the live members. Reports of running requests make up for lost messages
 * and for requests that a previous owner served. Does no I/O: messages are sent through [send].
 *
 * @param self this host, which relays the responses to its own requests.
 * @param accounts client accounts with a quota, by name.
 * @param isReady whether this host has fresh settings in force and has loaded the usage of the
 *   quotas.
 * @param updateClaim returns this host's claim to be the owner, given the hosts that report to it.
 * @param claimElsewhere returns the claim of another owner that most hosts use and that this host
 *   hears; it is sent to hosts that report to this one. Their requests are served all the same, since
 *   they may know already that the other owner is lost or cannot serve.
 * @param members the hosts that may be serving, this one included.
 */
class SlotOwner internal constructor(
    private val self: HostRef,
    private val pools: ServerPools,
    quotas: QuotaLedger,
    accounts: () -> Map<ClientAccount, Account>,
    members: () -> Set<HostRef>,
    private val isReady: () -> Boolean,
    private val clock: Clock,
    private val log: EventLog,
    private val updateClaim: (Set<HostId>) -> SlotMessage.OwnerClaim? = { null },
    private val claimElsewhere: () -> SlotMessage.OwnerClaim? = { null },
    send: (HostId, SlotMessage) -> Unit
) {
    private val heartbeats =
        OwnerHeartbeats(self, { members().mapTo(HashSet()) { it.host } }, clock, send)

    // Every message to a host takes the place of a heartbeat.
    private val send: (HostId, SlotMessage) -> Unit = { to, message ->
        heartbeats.sent(to)
        send(to, message)
    }
    private val charges = OwnerQuotas(quotas, accounts)
    private val leases = LeaseTable(pools, members, clock, log)
    private val handover = SharingHandover(pools, clock, log)
    private val status =
        OwnerStatusSender(pools, handover, { reportingHosts(FRESH_MS) }, clock, this.send)

    /** Returns the hosts that have reported within [withinMs]. */
    fun reportingHosts(withinMs: Long): Set<HostId> = leases.reportingHosts(withinMs)

    /** Handles a message from [from]. */
    fun receive(from: HostRef, message: SlotMessage) {
        if (message is SlotMessage.Report && message.isLast) return reportsElsewhere(from, message)
        val isNeeded = message is SlotMessage.Request || message is SlotMessage.Report
        if (message is SlotMessage.Report) claimElsewhere()?.let { send(from.host, it) }
        if (isNeeded && !isReady()) return send(from.host, SlotMessage.NotReady)
        when (message) {
            is SlotMessage.Request -> handleRequest(from, message)
            is SlotMessage.Cancelled -> cancelled(from, message.number)
            is SlotMessage.PromptRead -> promptRead(from, message)
            is SlotMessage.ServerStalled -> leases.find(
                from,
                message.number
            )?.state?.markUnresponsive()
            is SlotMessage.Ended -> ended(from, message)
            is SlotMessage.Refund -> charges.refund(from, message.account, message.quota)
            is SlotMessage.Report -> handleReport(from, message)
            else -> log.event("slot-message-stray", "from" eq from, "message" eq message)
        }
    }

    /**
     * Sends the [SlotMessage.OwnerStatus] to the hosts that report: at intervals, and immediately
     * if something in it has changed that hosts need at once. Drops expired leases. Called several
     * times a second.
     */
    fun tick() {
        val reporting = reportingHosts(FRESH_MS)
        val claim = updateClaim(reporting)
        heartbeats.tick(reporting, claim)
        if (leases.isEmpty) return
        val usedShares = charges.usedShares()
        if (status.isDue) {
            leases.dropExpired()
            charges.forgetIdle()
            pools.forgetOldVersions()
        }
        if (status.isPartChanged) refuseBlocked()
        status.sendIfDue(usedShares, claim)
    }

    private fun handleRequest(from: HostRef, request: SlotMessage.Request) {
        val client = leases.client(from)
        if (client.reportedMs == null) send(from.host, SlotMessage.ReportRequest)
        pools.parts.refusalBeforeWait(request.service, request.suspectParts)?.let {
            return refuse(from, request.number, it)
        }
        charges.charge(from, request)?.let { return refuse(from, request.number, it) }
        val lease = Lease(
            number = request.number,
            work = request.work,
            endMs = clock.nowMs() + request.endMs,
            isRelayedHere = from == self,
            account = request.account,
            quota = request.quota,
            suspectParts = request.suspectParts,
            route = request.route
        )
        client.leases[request.number] = lease
        val queued = requestOf(request, isRelayedHere = from == self)
        lease.waiting = queued
        pools[request.service].request(queued) { settled(from, client, lease, it) }
        if (lease.waiting != null) send(from.host, SlotMessage.Queued(request.number))
    }

    private fun settled(
        from: HostRef,
        client: OwnerClient,
        lease: Lease,
        result: Either<Failure, ServerState>
    ) {
        result.fold(
            {
                lease.waiting = null
                client.leases.remove(lease.number)
                lease.account?.let { name -> charges.refund(from, name, lease.quota) }
                refuse(from, lease.number, it)
            },
            {
                lease.granted(it, clock.nowMs())
                lease.sample =
                    pools.versions.recordGrant(it.server, lease.route, lease.compared)
                lease.isTrial = pools.parts.admitToSlot(it.server.service, lease.suspectParts)
                    .getOrElse { failure -> return takeBack(from, lease, failure) }
                send(
                    from.host,
                    SlotMessage.Granted(
                        number = lease.number,
                        server = it.server.id,
                        promptTokens = lease.tokensAhead,
                        isLimitKept = it.rateLimit != null,
                        isTrial = lease.isTrial
                    )
                )
            }
        )
    }

    /** Refuses a request that waits or was granted a slot that its host does not know of yet. */
    private fun takeBack(from: HostRef, lease: Lease, failure: Failure) {
        cancelled(from, lease.number)
        refuse(from, lease.number, failure)
    }

    /** Refuses the waiting requests with a part that has been blocked meanwhile. */
    private fun refuseBlocked() = leases.waitingSuspects().forEach { (host, lease) ->
        val service = lease.waiting?.service ?: return@forEach
        pools.parts.refusalBeforeWait(service, lease.suspectParts)
            ?.let { takeBack(host, lease, it) }
    }

    private fun refuse(from: HostRef, number: Long, failure: Failure) = send(
        from.host,
        SlotMessage.Refused(number, failure.code.number, failure.detail, failure.retryAfterMs)
    )

    private fun cancelled(from: HostRef, number: Long) {
        val lease = leases.remove(from, number) ?: return
        lease.account?.let { charges.refund(from, it, lease.quota) }
        if (!lease.isAdopted) lease.state?.rateLimit?.giveBack()
        leases.free(lease)
    }

    private fun promptRead(from: HostRef, message: SlotMessage.PromptRead) {
        val lease = leases.find(from, message.number) ?: return
        if (!lease.recordPromptRead()) return
        lease.state?.server?.let {
            pools.parts.registry.recordBegun(it.service, it.version, lease.suspectParts)
        }
        recordPace(from, lease, message.pacePercent)
        lease.sample?.recordFirstEvent(message.firstMs)
        lease.state?.recordFirstEvent(tokens = lease.tokensAhead, firstMs = message.firstMs)
    }

    private fun ended(from: HostRef, message: SlotMessage.Ended) {
        val lease = leases.remove(from, message.number) ?: return
        recordPace(from, lease, message.result.pacePercent)
        lease.state?.recordResult(message.result)
        lease.sample?.recordResult(message.result)
        if (message.result.isUnlimited) limitEnded(from, lease)
        leases.free(lease)
    }

    // This host has recorded the pace when the response to its own request arrived.
    private fun recordPace(from: HostRef, lease: Lease, percent: Int?) {
        if (from != self && percent != null) lease.state?.pace?.record(percent)
    }

    // The time at which another host granted a slot is not known here.
    private fun limitEnded(from: HostRef, lease: Lease) {
        val state = lease.state ?: return
        if (lease.isAdopted) return
        pools.limits.recordUnlimited(state.server.instance, lease.grantedMs, from.host)
    }

    private fun handleReport(from: HostRef, report: SlotMessage.Report) {
        leases.client(from).reportedMs = clock.nowMs()
        report.leaving.forEach { pools.markLeaving(it) }
        report.limits.forEach { pools.limits.recordNamed(it, from.host) }
        charges.accept(from, report)
        handover.accept(from, report.sharing)
        if (from != self) report.parts?.let { pools.parts.accept(it, from.host) }
        if (report.parts?.crashes.orEmpty().isNotEmpty()) tick()
        leases.reconcile(from, report)
    }

    private fun reportsElsewhere(from: HostRef, report: SlotMessage.Report) {
        report.parts?.let { pools.parts.accept(it, from.host) }
        leases.reportsElsewhere(from)
    }

    private fun requestOf(request: SlotMessage.Request, isRelayedHere: Boolean): QueuedRequest {
        val nowMs = clock.nowMs()
        return QueuedRequest(
            service = request.service,
            work = request.work,
            rank = request.rank,
            arrivedMs = nowMs - request.ageMs,
            targetMs = request.targetMs,
            giveUpMs = nowMs + request.giveUpMs,
            endMs = nowMs + request.endMs,
            patienceMs = request.patienceMs,
            avoid = request.tried,
            excludedServers = request.excludedServers,
            domain = request.domain,
            isStarted = request.isStarted,
            suspectParts = request.suspectParts,
            isRelayedHere = isRelayedHere,
            account = request.caller ?: request.account,
            route = request.route,
            isGrantedByOwner = true
        )
    }

    companion object {
        /**
         * Maximum age of the last report of a host that counts as reporting, in milliseconds;
         * covers several reports.
         */
        const val FRESH_MS = 3_500L

        /**
         * Maximum age of the last report of a host that counts as present, in milliseconds. While
         * most hosts are present, the others are left out of the share of hosts that report.
         */
        const val PRESENT_MS = 10_000L
    }
}
