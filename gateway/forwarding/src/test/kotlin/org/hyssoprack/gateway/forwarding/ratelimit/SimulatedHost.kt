package org.hyssoprack.gateway.forwarding.ratelimit

import kotlin.random.Random
import org.hyssoprack.common.Clock
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.gateway.forwarding.ServerStatusHandler
import org.hyssoprack.gateway.forwarding.slots.ServingHosts
import org.hyssoprack.gateway.forwarding.slots.SlotService
import org.hyssoprack.link.Link
import org.hyssoprack.membership.MemberView
import org.hyssoprack.serving.fleet.ServerLimitRegistry
import org.hyssoprack.serving.limits.QuotaLedger
import org.hyssoprack.serving.limits.QuotaTolerance
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.settings.Account

/** One host in a simulation: its pools and its part in granting slots. */
internal class SimulatedHost(
    val ref: HostRef,
    private val clock: Clock,
    link: Link,
    random: Random,
    accounts: List<Account> = emptyList(),
    view: () -> MemberView
) {
    val log = RecordedEvents()
    private val domain = FailureDomain("z")
    val pools: ServerPools = ServerPools(
        clock = clock,
        chooser = ServerChooser(domain, random),
        limits = ServerLimitRegistry(
            clock = clock,
            log = NoOpEventLog,
            ownerShare = { slots.ownerShare() },
            position = { hosts.position() }
        )
    )
    val statusHandler = ServerStatusHandler(pools, NoOpEventLog)
    val quotas = QuotaLedger(clock, { QuotaTolerance(windowMs = WINDOW_MS) }) { 1.0 }
    private val hosts = ServingHosts(ref, view, clock, settleMs = 0)
    val slots: SlotService = SlotService(
        self = ref,
        domain = domain,
        link = link,
        pools = pools,
        quotas = quotas,
        hosts = hosts,
        quotaWindowMs = WINDOW_MS,
        accounts = { accounts.associateBy { it.name } },
        isReady = { isReady },
        clock = clock,
        log = log
    )

    /** Whether it grants slots as the owner. */
    var isReady = true

    /** Whether its messages are lost in both directions. */
    var isCutOff = false

    fun tickSlots() {
        slots.client.tick()
        slots.owner.tick()
    }

    private companion object {
        const val WINDOW_MS = 8_000L
    }
}
