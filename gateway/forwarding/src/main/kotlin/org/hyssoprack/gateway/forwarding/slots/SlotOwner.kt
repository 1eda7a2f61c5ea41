package org.hyssoprack.gateway.forwarding.slots

import arrow.core.Either
import arrow.core.getOrElse
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.ResultCode
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
 * @param members the hosts that may be serving, this one included.
 */
class SlotOwner internal constructor(
    private val self: HostRef,
    private val pools: ServerPools,
    private val quotas: QuotaLedger,
    private val accounts: () -> Map<ClientAccount, Account>,
    private val members: () -> Set<HostRef>,
    private val isReady: () -> Boolean,
    private val clock: Clock,
    private val log: EventLog,
    private val send: (HostId, SlotMessage) -> Unit
) {
    private val clients = HashMap<HostRef, Client>()
    private var statusMs = Long.MIN_VALUE / 2
    private var sentShares: Map<ClientAccount, Double> = emptyMap()
    private var sentLimitChanges = 0
    private var sentPartChanges = 0

    private class Client(var reportedMs: Long?) {
        val leases = HashMap<Long, Lease>()
    }

    /** Returns the hosts that have reported within [withinMs]. */
    fun reportingHosts(withinMs: Long): Set<HostId> {
        val nowMs = clock.nowMs()
        return clients.filterValues {
            it.isFresh(nowMs, withinMs)
        }.keys.mapTo(HashSet()) { it.host }
    }

    /** Handles a message from [from]. */
    fun receive(from: HostRef, message: SlotMessage) {
        if (message is SlotMessage.Report && message.isLast) return reportsElsewhere(from, message)
        val isNeeded = message is SlotMessage.Request || message is SlotMessage.Report
        if (isNeeded && !isReady()) return send(from.host, SlotMessage.NotReady)
        when (message) {
            is SlotMessage.Request -> handleRequest(from, message)
            is SlotMessage.Cancelled -> cancelled(from, message.number)
            is SlotMessage.PromptRead -> promptRead(from, message)
            is SlotMessage.ServerStalled -> lease(from, message.number)?.state?.markUnresponsive()
            is SlotMessage.Ended -> ended(from, message)
            is SlotMessage.Refund -> refund(from, message.account, message.quota)
            is SlotMessage.Report -> handleReport(from, message)
            else -> log.event("slot-message-stray", "from" eq from, "message" eq message)
        }
    }

    /**
     * Sends the [SlotMessage.OwnerStatus] to the hosts that report: at intervals, and immediately
     * if a rate limit or what is known of parts of prompts has changed, or if the usage of an
     * account has grown by [STATUS_GROWTH]. Drops expired leases. Called several times a second.
     */
    fun tick() {
        if (clients.isEmpty()) return
        val nowMs = clock.nowMs()
        val usedShares = currentUsedShares()
        val hasGrown = usedShares.any { (name, share) ->
            share - (sentShares[name] ?: 0.0) >= STATUS_GROWTH
        }
        val isDue = nowMs - statusMs >= STATUS_MS
        if (isDue) dropExpired(nowMs)
        val isLimitChanged = pools.limits.changes != sentLimitChanges
        val isPartChanged = pools.parts.registry.changes != sentPartChanges
        if (isPartChanged) refuseBlocked()
        if (isDue) pools.forgetOldVersions()
        if (isDue || hasGrown || isLimitChanged || isPartChanged) sendStatus(usedShares)
    }

    private fun dropExpired(nowMs: Long) {
        val serving = members()
        clients.forEach { (host, client) -> dropExpired(host, client, serving, nowMs) }
        clients.values.removeIf { it.leases.isEmpty() && !it.isFresh(nowMs, FORGET_MS) }
        quotas.forgetIdle()
    }

    private fun sendStatus(usedShares: Map<ClientAccount, Double>) {
        sentShares = usedShares
        statusMs = clock.nowMs()
        sentLimitChanges = pools.limits.changes
        sentPartChanges = pools.parts.registry.changes
        val hosts = reportingHosts(FRESH_MS)
        if (hosts.isEmpty()) return
        val status = SlotMessage.OwnerStatus(
            usedShares = usedShares,
            loads = pools.loads(),
            leaving = pools.leaving,
            limits = pools.limits.all(),
            parts = pools.parts.registry.records()
        )
        hosts.forEach { send(it, status) }
    }

    private fun currentUsedShares(): Map<ClientAccount, Double> =
        accounts().mapValues { quotas.usedShare(it.value) }.filterValues { it >= MIN_SHARE }

    private fun handleRequest(from: HostRef, request: SlotMessage.Request) {
        val client = client(from)
        if (client.reportedMs == null) send(from.host, SlotMessage.ReportRequest)
        pools.parts.refusalBeforeWait(request.service, request.suspectParts)?.let {
            return refuse(from, request.number, it)
        }
        charge(from, request)?.let { return refuse(from, request.number, it) }
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

    /**
     * Charges the quota. Returns the reason for rejecting the request, or null if the quota was
     * charged.
     */
    private fun charge(from: HostRef, request: SlotMessage.Request): Failure? {
        val name = request.account ?: return null
        val limited = accounts()[name]
            ?: return Failure(
                ResultCode.NO_SETTINGS,
                "This host has no quota settings for client account $name yet.",
                RETRY_MS
            )
        if (!quotas.isRestored) {
            return Failure(
                ResultCode.HOST_ISOLATED,
                "This host has not loaded the usage of quotas yet.",
                RETRY_MS
            )
        }
        if (quotas.admit(from, limited, request.quota)) return null
        val waitMs = quotas.waitMs(limited, request.quota) + RETRY_MS
        val detail =
            "client account $name requested ${request.quota.toLong()} of its quota; " +
                quotas.describe(limited)
        return Failure(ResultCode.QUOTA_EXCEEDED, detail, waitMs)
    }

    private fun settled(
        from: HostRef,
        client: Client,
        lease: Lease,
        result: Either<Failure, ServerState>
    ) {
        result.fold(
            {
                lease.waiting = null
                client.leases.remove(lease.number)
                lease.account?.let { name -> refund(from, name, lease.quota) }
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
    private fun refuseBlocked() = clients.toList().forEach { (host, client) ->
        client.leases.values.filter { it.waiting != null && it.suspectParts.isNotEmpty() }
            .forEach { lease ->
                val service = lease.waiting?.service ?: return@forEach
                pools.parts.refusalBeforeWait(service, lease.suspectParts)
                    ?.let { takeBack(host, lease, it) }
            }
    }

    private fun refuse(from: HostRef, number: Long, failure: Failure) = send(
        from.host,
        SlotMessage.Refused(number, failure.code.number, failure.detail, failure.retryAfterMs)
    )

    private fun cancelled(from: HostRef, number: Long) {
        val lease = clients[from]?.leases?.remove(number) ?: return
        lease.account?.let { refund(from, it, lease.quota) }
        if (!lease.isAdopted) lease.state?.rateLimit?.giveBack()
        free(lease)
    }

    private fun promptRead(from: HostRef, message: SlotMessage.PromptRead) {
        val lease = lease(from, message.number) ?: return
        if (!lease.recordPromptRead()) return
        lease.state?.server?.let {
            pools.parts.registry.recordBegun(it.service, it.version, lease.suspectParts)
        }
        lease.sample?.recordFirstEvent(message.firstMs)
        lease.state?.speed?.recordPrompt(tokens = lease.tokensAhead, firstMs = message.firstMs)
    }

    private fun ended(from: HostRef, message: SlotMessage.Ended) {
        val lease = clients[from]?.leases?.remove(message.number) ?: return
        lease.state?.recordResult(message.result)
        lease.sample?.recordResult(message.result)
        if (message.result.isUnlimited) limitEnded(from, lease)
        free(lease)
    }

    // The time at which another host granted a slot is not known here.
    private fun limitEnded(from: HostRef, lease: Lease) {
        val state = lease.state ?: return
        if (lease.isAdopted) return
        pools.limits.recordUnlimited(state.server.instance, lease.grantedMs, from.host)
    }

    private fun refund(from: HostRef, name: ClientAccount, quota: Double) {
        accounts()[name]?.let { quotas.refund(from, it, quota) }
    }

    private fun handleReport(from: HostRef, report: SlotMessage.Report) {
        val nowMs = clock.nowMs()
        val client = client(from)
        client.reportedMs = nowMs
        report.leaving.forEach { pools.markLeaving(it) }
        report.limits.forEach { pools.limits.recordNamed(it, from.host) }
        quotas.inherit(accounts().values, report.usedShares)
        quotas.reconcile(from, report.used)
        if (from != self) report.parts?.let { pools.parts.accept(it, from.host) }
        if (report.parts?.crashes.orEmpty().isNotEmpty()) tick()
        val running = report.running.associateBy { it.number }
        client.leases.values
            .filter {
                it.state != null && it.number !in running && nowMs - it.grantedMs > TRANSIT_MS
            }
            .forEach { drop(from, client, it, "not-reported") }
        running.values.filter { it.number !in client.leases }.forEach { adopt(client, it, nowMs) }
    }

    /** Stops counting a host as reporting; it stays present, and its slots stay in use. */
    private fun reportsElsewhere(from: HostRef, report: SlotMessage.Report) {
        report.parts?.let { pools.parts.accept(it, from.host) }
        val client = clients[from] ?: return
        client.reportedMs = minOf(client.reportedMs ?: return, clock.nowMs() - FRESH_MS - 1)
    }

    private fun adopt(client: Client, slot: RunningSlot, nowMs: Long) {
        val state = pools[slot.service].state(slot.server) ?: return
        val lease = Lease(slot.number, slot.work, endMs = nowMs + slot.endMs, isRelayedHere = false)
        lease.adopted(state, nowMs, slot.isPromptRead)
        client.leases[slot.number] = lease
    }

    /** Drops the leases that cannot be in progress any more, and those of hosts that are gone. */
    private fun dropExpired(host: HostRef, client: Client, members: Set<HostRef>, nowMs: Long) {
        val isGone = host !in members && !client.isFresh(nowMs, GONE_MS)
        client.leases.values.filter { isGone || nowMs - it.endMs > TRANSIT_MS }.toList()
            .forEach { drop(host, client, it, if (isGone) "host-gone" else "deadline") }
    }

    private fun drop(host: HostRef, client: Client, lease: Lease, reason: String) {
        log.event("slot-dropped", "host" eq host, "ask" eq lease.number, "reason" eq reason)
        client.leases.remove(lease.number)
        free(lease)
    }

    private fun free(lease: Lease) {
        val service = lease.state?.server?.service ?: lease.waiting?.service
        lease.waiting?.let { pools[it.service].withdraw(it) }
        lease.waiting = null
        lease.release()
        service?.let { pools[it].dispatchWaiting() }
    }

    private fun client(host: HostRef): Client = clients.getOrPut(host) { Client(reportedMs = null) }

    private fun lease(from: HostRef, number: Long): Lease? = clients[from]?.leases?.get(number)

    private fun Client.isFresh(nowMs: Long, withinMs: Long): Boolean =
        reportedMs.let { it != null && nowMs - it <= withinMs }

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

        // Several status messages fit in the time for which a host uses one.
        private const val STATUS_MS = 1_000L

        // Time without a report after which a host that is not a member counts as gone. A restarted
        // host is back sooner.
        private const val GONE_MS = 2_000L
        private const val FORGET_MS = 20_000L

        // Bounds the usage since the last status message that partitioned hosts still count as
        // available.
        private const val STATUS_GROWTH = 0.05

        // Smaller shares make no difference to what a host may admit locally.
        private const val MIN_SHARE = 0.01

        // Time after its grant or its deadline from which a lease may be dropped. Longer than a
        // message takes between two hosts, so that none about the lease is still in transit.
        private const val TRANSIT_MS = 1_000L

        // Settings and records that are missing are read several times a second.
        private const val RETRY_MS = 300L
    }
}
