package org.hyssoprack.gateway.forwarding.rollout

import arrow.core.getOrElse
import arrow.core.left
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.ServiceId
import org.hyssoprack.common.catchAny
import org.hyssoprack.common.eq
import org.hyssoprack.gateway.forwarding.FeedSink
import org.hyssoprack.rollout.RolloutStatus
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow

/** What this host knows of orders and states of roll-outs, from the store's feeds. */
class RolloutView(
    private val rows: RolloutRows,
    private val clock: Clock,
    private val log: EventLog
) {
    private val services = HashMap<ServiceId, ServiceRollout>()
    private var ordersRead: ClockReading? = null
    private var statusRead: ClockReading? = null

    /** Applies the orders. */
    val orderSink: FeedSink = Sink({ ordersRead = it }) { row, isLive -> readOrder(row, isLive) }

    /** Applies the states. */
    val statusSink: FeedSink = Sink({ statusRead = it }) { row, _ -> readStatus(row) }

    /** Services with an order. */
    val ordered: Map<ServiceId, SeenOrder>
        get() = services.mapNotNull { (id, it) -> it.order?.let { seen -> id to seen } }.toMap()

    /** Whether the table of states has been read. */
    val isStatusRead: Boolean get() = statusRead != null

    /** Age of the older of the two tables as known here, in milliseconds. */
    val ageMs: Long
        get() = maxOf(ordersRead.ageOrMax(), statusRead.ageOrMax())

    /** Returns the status in force; null without a roll-out. */
    fun statusOf(service: ServiceId): RolloutStatus? = services[service]?.current

    /** Returns the final status of the newest order for [service], if there is one. */
    fun finalOf(service: ServiceId): RolloutStatus? =
        services[service]?.let { it.finalOf(it.order?.order?.to ?: return null) }

    /** Returns whether an earlier roll-out to [version] was rolled back. */
    fun isRefused(service: ServiceId, version: String?): Boolean =
        services[service]?.isRefused(version) == true

    /** Records a [status] that was stored. */
    fun recordStatus(service: ServiceId, status: RolloutStatus) {
        val rollout = of(service)
        val before = rollout.current
        rollout.recordStatus(status)
        val now = rollout.current
        if (now == before) return
        log.event(
            "rollout-status",
            "service" eq service,
            "to" eq now?.to,
            "state" eq now?.state,
            "before" eq before?.state,
            "ordersAgeMs" eq ordersRead?.ageMs(clock)
        )
    }

    private fun readOrder(row: FeedRow, isLive: Boolean) {
        val service = rows.serviceOf(row.key) ?: return
        val text = row.value ?: return
        val order = decoded { rows.decodeOrder(service, text) }.getOrElse {
            return log.event("rollout-unreadable", "row" eq row.key, "detail" eq it.detail)
        }
        if (!of(service).recordOrder(order, isLive)) return
        log.event(
            "rollout-order",
            "service" eq service,
            "to" eq order.to,
            "durationMs" eq order.durationMs,
            "live" eq isLive
        )
    }

    private fun readStatus(row: FeedRow) {
        val service = rows.serviceOf(row.key) ?: return
        val text = row.value ?: return
        decoded { rows.decodeStatus(text) }.fold(
            { log.event("rollout-unreadable", "row" eq row.key, "detail" eq it.detail) },
            { recordStatus(service, it) }
        )
    }

    // An error of the decoder must not keep the other rows from being applied.
    private fun <T> decoded(decode: () -> arrow.core.Either<Failure, T>) = catchAny { decode() }
        .getOrElse { Failure(ResultCode.SETTINGS_INVALID, "decoder failed: $it").left() }

    private fun of(service: ServiceId) = services.getOrPut(service) { ServiceRollout(clock) }

    private fun ClockReading?.ageOrMax(): Long = this?.ageMs(clock) ?: Long.MAX_VALUE

    private class Sink(
        private val confirmed: (ClockReading) -> Unit,
        private val read: (FeedRow, Boolean) -> Unit
    ) : FeedSink {
        override fun replace(rows: List<FeedRow>): Boolean {
            rows.forEach { read(it, false) }
            return true
        }

        override fun change(rows: List<FeedRow>): Boolean {
            rows.forEach { read(it, true) }
            return true
        }

        override fun confirm(readStarted: ClockReading) = confirmed(readStarted)

        override fun storeRestored() = Unit

        override fun storeRecovered(agoMs: Long) = Unit
    }
}
