package org.hyssoprack.gateway.forwarding.slots

import arrow.core.Either
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
 * Lends the slots of all backend servers to the hosts that ask, in one order over the fleet, and
 * keeps the quotas. Any host serves those that ask it; they choose one by hashing over the live
 * members. What a host says of its running requests makes up for lost messages and for asks that an
 * owner before this one has served. No I/O: messages go out by [send].
 *
 * @param self this host, which sees the bytes of its own requests.
 * @param accounts client accounts whose use is limited, by their names.
 * @param isReady whether this host has settings in force that are fresh, and knows quotas' use.
 * @param members runs of the hosts that may be serving, this one included.
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
    private var toldMs = Long.MIN_VALUE / 2
    private var toldTaken: Map<ClientAccount, Double> = emptyMap()

    private class Client(var reportedMs: Long?) {
        val leases = HashMap<Long, Lease>()
    }

    /** Hosts that have reported within [withinMs]. */
    fun reportingHosts(withinMs: Long): Set<HostId> {
        val nowMs = clock.nowMs()
        return clients.filterValues {
            it.isFresh(nowMs, withinMs)
        }.keys.mapTo(HashSet()) { it.host }
    }

    /** Takes in what [from] says. */
    fun receive(from: HostRef, message: SlotMessage) {
        val isNeeded = message is SlotMessage.Request || message is SlotMessage.Report
        if (isNeeded && !isReady()) return send(from.host, SlotMessage.NotReady)
        when (message) {
            is SlotMessage.Request -> asked(from, message)
            is SlotMessage.Cancelled -> withdrawn(from, message.number)
            is SlotMessage.PromptRead -> promptRead(from, message)
            is SlotMessage.ServerStalled -> lease(from, message.number)?.state?.markSilent()
            is SlotMessage.Ended -> ended(from, message)
            is SlotMessage.Refund -> refund(from, message.account, message.quota)
            is SlotMessage.Report -> reported(from, message)
            else -> log.event("slot-message-stray", "from" eq from, "message" eq message)
        }
    }

    /**
     * Tells those that report what they need without this host: at intervals, and at once if an
     * account's use has grown much. Drops what is over. Called several times a second.
     */
    fun tick() {
        if (clients.isEmpty()) return
        val nowMs = clock.nowMs()
        val usedShares = takenShares()
        val hasGrown = usedShares.any { (name, share) ->
            share - (toldTaken[name] ?: 0.0) >=
                NEWS_SHARE
        }
        val isDue = nowMs - toldMs >= NEWS_MS
        if (isDue) dropOver(nowMs)
        if (isDue || hasGrown) tellNews(usedShares)
    }

    private fun dropOver(nowMs: Long) {
        val serving = members()
        clients.forEach { (host, client) -> dropOver(host, client, serving, nowMs) }
        clients.values.removeIf { it.leases.isEmpty() && !it.isFresh(nowMs, FORGET_MS) }
        quotas.forgetIdle()
    }

    private fun tellNews(usedShares: Map<ClientAccount, Double>) {
        toldTaken = usedShares
        toldMs = clock.nowMs()
        val hosts = reportingHosts(FRESH_MS)
        if (hosts.isEmpty()) return
        val news = SlotMessage.OwnerStatus(
            usedShares = usedShares,
            loads = pools.loads(),
            leaving = pools.leaving
        )
        hosts.forEach { send(it, news) }
    }

    private fun takenShares(): Map<ClientAccount, Double> =
        accounts().mapValues { quotas.usedShare(it.value) }.filterValues { it >= SMALL_SHARE }

    private fun asked(from: HostRef, ask: SlotMessage.Request) {
        val client = client(from)
        if (client.reportedMs == null) send(from.host, SlotMessage.ReportRequest)
        chargeFailure(from, ask)?.let { return refuse(from, ask.number, it) }
        val lease = Lease(
            number = ask.number,
            work = ask.work,
            endMs = clock.nowMs() + ask.endMs,
            isRelayedHere = from == self,
            account = ask.account,
            quota = ask.quota
        )
        client.leases[ask.number] = lease
        val request = requestOf(ask, isRelayedHere = from == self)
        lease.waiting = request
        pools[ask.service].request(request) { settled(from, client, lease, it) }
        if (lease.waiting != null) send(from.host, SlotMessage.Queued(ask.number))
    }

    /** Charges the quota; the reason for refusing if it cannot be charged. */
    private fun chargeFailure(from: HostRef, ask: SlotMessage.Request): Failure? {
        val name = ask.account ?: return null
        val known = accounts()[name]
            ?: return Failure(ResultCode.NO_SETTINGS, "$name is not known yet.", RETRY_MS)
        if (!quotas.isRestored) {
            return Failure(
                ResultCode.HOST_ISOLATED,
                "The use of quotas is not known yet.",
                RETRY_MS
            )
        }
        if (quotas.admit(from, known, ask.quota)) return null
        val waitMs = quotas.waitMs(known, ask.quota) + RETRY_MS
        val detail = "$name asks for ${ask.quota.toLong()}, ${quotas.describe(known)}"
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
                send(
                    from.host,
                    SlotMessage.Granted(lease.number, it.server.id, lease.tokensAhead)
                )
            }
        )
    }

    private fun refuse(from: HostRef, number: Long, failure: Failure) = send(
        from.host,
        SlotMessage.Refused(number, failure.code.number, failure.detail, failure.retryAfterMs)
    )

    private fun withdrawn(from: HostRef, number: Long) {
        val lease = clients[from]?.leases?.remove(number) ?: return
        lease.account?.let { refund(from, it, lease.quota) }
        free(lease)
    }

    private fun promptRead(from: HostRef, message: SlotMessage.PromptRead) {
        val lease = lease(from, message.number) ?: return
        if (!lease.readPrompt()) return
        lease.state?.speed?.prompt(tokens = lease.tokensAhead, firstMs = message.firstMs)
    }

    private fun ended(from: HostRef, message: SlotMessage.Ended) {
        val lease = clients[from]?.leases?.remove(message.number) ?: return
        lease.state?.learn(message.result)
        free(lease)
    }

    private fun refund(from: HostRef, name: ClientAccount, quota: Double) {
        accounts()[name]?.let { quotas.refund(from, it, quota) }
    }

    private fun reported(from: HostRef, report: SlotMessage.Report) {
        val nowMs = clock.nowMs()
        val client = client(from)
        client.reportedMs = nowMs
        report.leaving.forEach { pools.markLeaving(it) }
        quotas.inherit(accounts().values, report.usedShares)
        quotas.reconcile(from, report.used)
        val running = report.running.associateBy { it.number }
        client.leases.values
            .filter { it.state != null && it.number !in running && nowMs - it.grantedMs > LATE_MS }
            .forEach { drop(from, client, it, "not-reported") }
        running.values.filter { it.number !in client.leases }.forEach { adopt(client, it, nowMs) }
    }

    private fun adopt(client: Client, slot: RunningSlot, nowMs: Long) {
        val state = pools[slot.service].state(slot.server) ?: return
        val lease = Lease(slot.number, slot.work, endMs = nowMs + slot.endMs, isRelayedHere = false)
        lease.adopted(state, nowMs, slot.isPromptRead)
        client.leases[slot.number] = lease
    }

    /** Ends what cannot be in progress any more, and what hosts that are gone had. */
    private fun dropOver(host: HostRef, client: Client, members: Set<HostRef>, nowMs: Long) {
        val isGone = host !in members && !client.isFresh(nowMs, GONE_MS)
        client.leases.values.filter { isGone || nowMs - it.endMs > LATE_MS }.toList()
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

    private fun requestOf(ask: SlotMessage.Request, isRelayedHere: Boolean): QueuedRequest {
        val nowMs = clock.nowMs()
        return QueuedRequest(
            service = ask.service,
            work = ask.work,
            rank = ask.rank,
            arrivedMs = nowMs - ask.ageMs,
            targetMs = ask.targetMs,
            giveUpMs = nowMs + ask.giveUpMs,
            endMs = nowMs + ask.endMs,
            patienceMs = ask.patienceMs,
            avoid = ask.tried,
            excludedServers = ask.excludedServers,
            domain = ask.domain,
            isRelayedHere = isRelayedHere
        )
    }

    companion object {
        /** Time within which a host that serves has reported, in milliseconds: some reports. */
        const val FRESH_MS = 3_500L

        /** Time without a report after which a host counts as gone where most hosts report. */
        const val PRESENT_MS = 10_000L

        // Some news in the time for which a host goes by them.
        private const val NEWS_MS = 1_000L

        // A host that is restarted is back sooner.
        private const val GONE_MS = 2_000L
        private const val FORGET_MS = 20_000L

        // Bounds what hosts that are cut off take for free although it was used since the last news.
        private const val NEWS_SHARE = 0.05

        // Shares below this make no difference to what a host may admit by itself.
        private const val SMALL_SHARE = 0.01

        // Longer than a message takes between two hosts, so that none is on its way any more.
        private const val LATE_MS = 1_000L

        // Settings and records are read several times a second where they are not known.
        private const val RETRY_MS = 300L
    }
}
