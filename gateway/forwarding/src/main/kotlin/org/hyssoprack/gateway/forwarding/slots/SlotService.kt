package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.link.Link
import org.hyssoprack.serving.limits.LocalQuota
import org.hyssoprack.serving.limits.QuotaLedger
import org.hyssoprack.serving.settings.Account

/**
 * The [SlotClient] and the [SlotOwner] of one host, connected to each other and to the other hosts.
 */
class SlotService(
    private val self: HostRef,
    domain: FailureDomain,
    private val link: Link,
    pools: ServerPools,
    quotas: QuotaLedger,
    private val hosts: ServingHosts,
    quotaWindowMs: Long,
    accounts: () -> Map<ClientAccount, Account>,
    isReady: () -> Boolean,
    private val clock: Clock,
    log: EventLog
) {
    /** Acquires slots for this host's requests. */
    val client: SlotClient = SlotClient(
        self = self,
        domain = domain,
        pools = pools,
        quota = LocalQuota(clock, quotaWindowMs, quotas::recordedShare, hosts::count),
        currentOwner = hosts::owner,
        markUnavailable = hosts::markUnavailable,
        clock = clock,
        log = log,
        peers = hosts::nextHosts,
        markLost = hosts::markLost,
        acceptClaim = hosts::accept,
        isTakenOver = ::areAllReporting,
        position = hosts::position,
        send = ::send
    )

    /** Grants slots to the hosts that request them from this one. */
    val owner: SlotOwner = SlotOwner(
        self = self,
        pools = pools,
        quotas = quotas,
        accounts = accounts,
        members = hosts::hostRefs,
        isReady = SteadyReadiness(clock, isReady)::isSteady,
        clock = clock,
        log = log,
        updateClaim = hosts::updateOwnClaim,
        claimElsewhere = ::claimElsewhere,
        send = ::send
    )

    /** Whether this host is the slot owner in its own member view. */
    val isOwner: Boolean get() = hosts.owner() == self.host

    private var reportingShare = 0.0
    private var ownerShare = 0.0
    private var sharesMs = Long.MIN_VALUE / 2

    /** Returns the share of the hosts that report to this one, cached for a short time. */
    fun reportingShare(): Double {
        updateShares()
        return reportingShare
    }

    /**
     * Returns the share of all hosts that report to this one, present or not, cached for a short
     * time.
     */
    fun ownerShare(): Double {
        updateShares()
        return ownerShare
    }

    private fun updateShares() {
        val nowMs = clock.nowMs()
        if (nowMs - sharesMs < SHARE_LIFETIME_MS) return
        sharesMs = nowMs
        val fresh = owner.reportingHosts(SlotOwner.FRESH_MS)
        val present = owner.reportingHosts(SlotOwner.PRESENT_MS)
        reportingShare = hosts.reportingShare({ it in fresh }, { it in present })
        ownerShare = hosts.shareOf(fresh)
    }

    private fun areAllReporting(): Boolean =
        owner.reportingHosts(SlotOwner.FRESH_MS).size >= hosts.count()

    /** Returns the claim of another owner; null if this host has not heard of that one recently. */
    private fun claimElsewhere(): SlotMessage.OwnerClaim? {
        val claim = hosts.heldClaim()?.takeIf { it.owner != self } ?: return null
        val silentMs = hosts.silentMs(claim.owner.host) ?: return null
        return claim.takeIf { silentMs < OwnerContact.LOST_MS }
    }

    /** Handles a message from another host. */
    fun receive(from: HostRef, message: SlotMessage) {
        hosts.heard(from.host)
        when {
            message is SlotMessage.OwnerCheck -> answerCheck(from, message)
            message.isForOwner() -> owner.receive(from, message)
            else -> client.receive(from, message)
        }
    }

    private fun answerCheck(from: HostRef, check: SlotMessage.OwnerCheck) {
        val isUsed = client.owner == check.owner
        val claim = hosts.heldClaim()
        if (!isUsed && claim != null) return send(from.host, claim)
        val silentMs = if (isUsed) hosts.silentMs(check.owner) else null
        send(from.host, SlotMessage.OwnerSilence(check.owner, silentMs))
    }

    private fun send(to: HostId, message: SlotMessage) =
        if (to == self.host) receive(self, message) else link.send(to, message)

    private fun SlotMessage.isForOwner(): Boolean = when (this) {
        is SlotMessage.Request, is SlotMessage.Cancelled, is SlotMessage.PromptRead,
        is SlotMessage.ServerStalled, is SlotMessage.Ended, is SlotMessage.Refund,
        is SlotMessage.Report, is SlotMessage.OwnerCheck -> true

        is SlotMessage.Queued, is SlotMessage.Granted, is SlotMessage.Refused,
        SlotMessage.ReportRequest, SlotMessage.NotReady, is SlotMessage.OwnerStatus,
        is SlotMessage.OwnerClaim, is SlotMessage.OwnerSilence -> false
    }

    private companion object {
        // Every request reads the share, while reports arrive only once a second.
        const val SHARE_LIFETIME_MS = 50L
    }
}
