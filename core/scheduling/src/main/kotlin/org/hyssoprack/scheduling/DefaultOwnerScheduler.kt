package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.HostRef

/** [OwnerScheduler] that keeps one [SlotTable] for each backend server that [self] owns. */
class DefaultOwnerScheduler(
    private val self: HostRef,
    private val settings: SchedulingSettings = SchedulingSettings()
) : OwnerScheduler {
    private val leaseIds = LeaseIds(self)
    private val tables = LinkedHashMap<BackendServerId, SlotTable>()
    private var lastTickMs = 0L
    private val loads = HashMap<BackendServerId, ServerLoad>()

    override fun receive(nowMs: Long, from: HostRef, message: SlotMessage): List<OwnerOutput> =
        when (message) {
            is SlotMessage.Ask -> tables[message.server]?.register(nowMs, from, message)
            is SlotMessage.AskBlock -> tables[message.server]?.lendBlock(nowMs, from, message)
            is SlotMessage.Withdraw -> tables[message.server]?.withdraw(nowMs, from, message)
            is SlotMessage.Return -> tables[message.server]?.giveBack(nowMs, from, message)
            is SlotMessage.Renew -> tables[message.server]?.renew(nowMs, from, message)
            is SlotMessage.ShedCheck -> tables[message.server]?.shedCheck(nowMs, from, message)
            is SlotMessage.Grant,
            is SlotMessage.Recall,
            is SlotMessage.Preempt,
            is SlotMessage.ShedVerdict,
            is SlotMessage.Digest -> null
        }.orEmpty()

    override fun updateFleet(nowMs: Long, fleet: Fleet): List<OwnerOutput> {
        val owned = fleet.servers.values.filter { it.owner == self.host }
        tables.keys.retainAll(owned.map { it.id }.toSet())
        loads.keys.retainAll(tables.keys)
        owned.forEach { updateServer(nowMs, it, fleet) }
        return tables.values.flatMap { it.tick(nowMs) }
    }

    private fun updateServer(nowMs: Long, server: FleetServer, fleet: Fleet) {
        val pool = fleet.pools[server.pool] ?: return
        val table = tables[server.id]
        if (table != null) return table.update(server, pool, fleet.tiers)
        val load = ServerLoad(
            peers = { medianOfPeers(it) },
            generation = server.generation,
            slots = server.slots,
            pool = pool
        )
        loads[server.id] = load
        tables[server.id] = SlotTable(
            settings = settings,
            leaseIds = leaseIds,
            lendFromMs = nowMs + settings.leaseTermMs,
            load = load,
            server = server,
            pool = pool,
            tiers = fleet.tiers
        )
    }

    private fun medianOfPeers(load: ServerLoad): Double? {
        val recent = loads.values.filter {
            it.isPeerOf(load)
        }.mapNotNull { it.recentTokenMs }.sorted()
        if (recent.size < MIN_PEERS) return null
        return recent[recent.size / 2]
    }

    override fun loadReported(nowMs: Long, server: BackendServerId, running: Int, queued: Int) {
        loads[server]?.recordReport(running, queued)
    }

    override fun hostGone(nowMs: Long, host: HostRef): List<OwnerOutput> =
        tables.values.flatMap { it.hostGone(nowMs, host) }

    override fun tick(nowMs: Long): List<OwnerOutput> {
        lastTickMs = nowMs
        return tables.values.flatMap { it.tick(nowMs) }
    }

    override fun digests(): Map<BackendServerId, ServerDigest> = tables.mapValues {
        it.value.digest(lastTickMs)
    }

    private companion object {
        const val MIN_PEERS = 2
    }
}
