package org.hyssoprack.gateway.forwarding.rollout

import arrow.core.getOrElse
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ServiceId
import org.hyssoprack.common.eq
import org.hyssoprack.rollout.Rollout
import org.hyssoprack.rollout.RolloutBounds
import org.hyssoprack.rollout.RolloutRecord
import org.hyssoprack.rollout.RolloutState
import org.hyssoprack.store.Row
import org.hyssoprack.store.WriteResult

/** Begins or continues a roll-out at its decider, from the rows in the store. */
internal class RolloutTakeUp(
    private val self: HostId,
    private val store: RolloutStore,
    private val view: RolloutView,
    private val clock: Clock,
    private val log: EventLog
) {
    /**
     * Reads the rows of [service] and claims its record. Returns null if the store does not respond
     * or another host claims it at the same time; the caller tries again.
     */
    suspend fun takeUp(
        service: ServiceId,
        seen: SeenOrder,
        bounds: RolloutBounds
    ): DecidedRollout? {
        val rows = store.read(service).getOrElse { return null }
        // The feed has not brought the newest order yet, or the order is gone.
        val order = rows.order?.takeIf { store.orderOf(service, it) == seen.order } ?: return null
        val earlier = store.recordOf(rows.record)
        val isContinued = earlier != null &&
            earlier.orderRevision == order.revision &&
            earlier.to == seen.order.to
        if (isContinued) finished(seen, rows, earlier, bounds)?.let { return it }
        val record = recordOf(seen, order, rows.status, earlier.takeIf { isContinued })
        val claimed = store.writeRecord(service, rows.record?.revision ?: 0, record)
        if (claimed !is WriteResult.Applied) return null
        val startedMs = clock.nowMs() - elapsedMs(seen, record)
        val rollout = Rollout(seen.order, bounds, startedMs, clock, record)
        val isPublished = (rows.status?.revision ?: 0) > record.statusRevision
        // A store restored from an older copy may lack the record of what is final here.
        if (isContinued || earlier == null) view.finalOf(service)?.let { rollout.adopt(it.state) }
        if (isPublished) store.statusOf(rows.status)?.let { rollout.adopt(it.state) }
        val decided = DecidedRollout(
            rollout = rollout,
            seen = seen,
            record = record,
            recordRevision = claimed.row.revision,
            statusRevision = rows.status?.revision ?: 0,
            isPublished = isPublished
        )
        decided.recordedMs = clock.nowMs()
        logTakeUp(service, decided, earlier, rollout.state)
        return decided
    }

    /** Returns the roll-out if its final state is stored, which needs no claim. */
    private fun finished(
        seen: SeenOrder,
        rows: RolloutStore.Rows,
        record: RolloutRecord,
        bounds: RolloutBounds
    ): DecidedRollout? {
        val revision = rows.status?.revision ?: 0
        val status = store.statusOf(rows.status)
            ?.takeIf { revision > record.statusRevision && it.to == record.to && it.state.isFinal }
            ?: return null
        val rollout = Rollout(seen.order, bounds, clock.nowMs(), clock, record)
        rollout.adopt(status.state)
        view.recordStatus(seen.order.service, status)
        return DecidedRollout(rollout, seen, record, rows.record?.revision ?: 0, revision, true)
            .also { it.isStored = true }
    }

    private fun recordOf(
        seen: SeenOrder,
        order: Row,
        status: Row?,
        earlier: RolloutRecord?
    ): RolloutRecord = earlier?.copy(decider = self.value) ?: RolloutRecord(
        to = seen.order.to,
        orderRevision = order.revision,
        statusRevision = status?.revision ?: 0,
        orderedMs = clock.epochMs() - (clock.nowMs() - seen.seenMs),
        decider = self.value
    )

    /**
     * Returns the time since the order. A host that read it late goes by the record, which another
     * host's clock has dated.
     */
    private fun elapsedMs(seen: SeenOrder, record: RolloutRecord): Long {
        val seenMs = clock.nowMs() - seen.seenMs
        if (seen.isSeenLive) return seenMs
        return maxOf(
            seenMs,
            (clock.epochMs() - record.orderedMs).coerceIn(0, seen.order.durationMs)
        )
    }

    private fun logTakeUp(
        service: ServiceId,
        decided: DecidedRollout,
        earlier: RolloutRecord?,
        state: RolloutState
    ) = log.event(
        "rollout-taken-up",
        "service" eq service,
        "to" eq decided.record.to,
        "orderRevision" eq decided.record.orderRevision,
        "statusRevision" eq decided.statusRevision,
        "published" eq decided.isPublished,
        "before" eq earlier?.decider,
        "state" eq state,
        "requests" eq decided.record.total,
        "reserved" eq decided.record.reserved,
        "elapsedShare" eq decided.rollout.elapsedShare,
        "ageMs" eq view.ageMs
    )
}
