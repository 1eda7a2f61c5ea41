package org.hyssoprack.gateway.forwarding.rollout

import kotlinx.coroutines.CoroutineScope
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.CombinedSink
import org.hyssoprack.gateway.forwarding.FeedSink
import org.hyssoprack.rollout.RolloutBounds
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.store.TableService

/**
 * The roll-outs of new versions as one host sees and decides them.
 *
 * @param bounds null in a deployment without roll-outs, where all of this has no effect.
 * @param isDecider whether this host decides the roll-outs of a service now.
 * @param graceMs time after a service's first server in which its versions become known, in
 *   milliseconds. A version that appears later needs an order.
 */
class Rollouts(
    self: HostId,
    table: TableService,
    rows: RolloutRows,
    private val bounds: RolloutBounds?,
    isDecider: (ServiceId) -> Boolean,
    graceMs: () -> Long,
    metrics: RolloutMetrics,
    clock: Clock,
    log: EventLog
) {
    private val servers = HashMap<ServiceId, Collection<RegisteredServer>>()

    /** What this host knows of orders and states. */
    val view = RolloutView(rows, clock, log)

    private val decider = RolloutDecider(
        self = self,
        store = RolloutStore(table, rows, log),
        view = view,
        bounds = bounds,
        isDecider = isDecider,
        hasServer = { service, version ->
            servers[service].orEmpty().any { it.version == version && !it.isLeaving }
        },
        clock = clock,
        log = log,
        metrics = metrics
    )
    private val hostGate = RolloutGate(view, bounds, decider::rolloutOf, clock, graceMs)

    /** Whether this deployment rolls versions out. */
    val isEnabled: Boolean get() = bounds != null

    /** Filters the servers that may get requests. */
    val gate: VersionGate = if (bounds == null) AllVersions else hostGate

    /** Returns [sink] with the orders added that its table has beside its own rows. */
    fun withOrders(sink: FeedSink): FeedSink =
        if (isEnabled) CombinedSink(sink, view.orderSink) else sink

    /** Records the registered servers. */
    fun updateServers(registered: Collection<RegisteredServer>) {
        servers.clear()
        servers += registered.groupBy { it.service }
        hostGate.update(registered)
    }

    /** Reads all rows again, since the store was restored from an older copy. */
    fun storeRestored() = decider.storeRestored()

    /** Launches what is due in [scope]; called several times a second. */
    fun tick(scope: CoroutineScope) = decider.tick(scope)
}
