package org.hyssoprack.gateway.forwarding.rollout

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ServiceId
import org.hyssoprack.common.eq
import org.hyssoprack.rollout.Rollout
import org.hyssoprack.rollout.RolloutBounds
import org.hyssoprack.rollout.RolloutRecord
import org.hyssoprack.rollout.RolloutState
import org.hyssoprack.rollout.RolloutStatus
import org.hyssoprack.store.WriteResult

/**
 * Runs the roll-outs that this host decides: takes each order up with a conditional write of its
 * record, publishes its state, reserves exposure before it is used, and stores the decision. Every
 * write expects the revision that this host knows, so of two deciders only one gets on; the other
 * reads the rows again and adopts what it finds.
 *
 * @param isDecider whether this host decides the roll-outs of a service now.
 * @param hasServer whether a service has a server of a version that accepts requests.
 */
class RolloutDecider internal constructor(
    private val self: HostId,
    private val store: RolloutStore,
    private val view: RolloutView,
    private val bounds: RolloutBounds?,
    private val isDecider: (ServiceId) -> Boolean,
    private val hasServer: (ServiceId, String) -> Boolean,
    private val clock: Clock,
    private val log: EventLog,
    private val metrics: RolloutMetrics
) {
    private val takeUp = RolloutTakeUp(self, store, view, clock, log)
    private val decided = HashMap<ServiceId, DecidedRollout>()
    private val busy = HashSet<ServiceId>()
    private val pausedUntilMs = HashMap<ServiceId, Long>()

    /** Returns the roll-out of [service] if this host decides it. */
    fun rolloutOf(service: ServiceId): Rollout? = decided[service]?.rollout

    /** Reads all rows again, since the store was restored from an older copy. */
    fun storeRestored() = decided.clear()

    /** Launches the steps that are due in [scope]; called several times a second. */
    fun tick(scope: CoroutineScope) {
        if (bounds == null) return
        for ((service, seen) in view.ordered) {
            // What was reserved stays valid, so a host that is the owner again goes on.
            if (!isDecider(service)) continue
            if (decided[service].let { it != null && it.seen == seen && it.isStored }) continue
            if (clock.nowMs() < (pausedUntilMs[service] ?: Long.MIN_VALUE)) continue
            if (!busy.add(service)) continue
            scope.launch {
                try {
                    step(service, seen)
                } finally {
                    busy -= service
                }
            }
        }
    }

    private suspend fun step(service: ServiceId, seen: SeenOrder) {
        val known = decided[service]?.takeIf { it.seen == seen }
        if (known == null) {
            decided.remove(service)
            val taken = takeUp.takeUp(service, seen, bounds ?: return)
                ?: return pause(service, RETRY_MS)
            decided[service] = taken
            return publish(service, taken)
        }
        publish(service, known)
    }

    /** Stores the state that the roll-out has now. */
    private suspend fun publish(service: ServiceId, known: DecidedRollout) {
        val rollout = known.rollout
        metrics.recordExposure(service, rollout)
        if (known.isStored) return
        val verdict = rollout.decide(hasServer(service, rollout.order.to))
        if (verdict.isFinal || rollout.isAccepted) logDecision(service, known, verdict)
        if (verdict.isFinal && !rollout.comparison.isBad) {
            // A decider that was frozen must not decide by what it knew then.
            if (!writeRecord(service, known)) return
            return writeStatus(service, known, rollout.decide(hasServer(service, rollout.order.to)))
        }
        if (verdict.isFinal || !known.isPublished) return writeStatus(service, known, verdict)
        if (isRecordDue(known)) writeRecord(service, known)
    }

    private suspend fun writeStatus(
        service: ServiceId,
        known: DecidedRollout,
        state: RolloutState
    ) {
        val status = RolloutStatus(state, known.rollout.order.to)
        when (val result = store.writeStatus(service, known.statusRevision, status)) {
            is WriteResult.Applied -> {
                known.statusRevision = result.row.revision
                stored(service, known, status)
            }

            is WriteResult.Conflict -> {
                val current = store.statusOf(result.current)
                val revision = result.current?.revision ?: 0
                val isOfOrder = revision > known.record.statusRevision && current?.to == status.to
                if (!isOfOrder || current == null) return abandon(service, "status")
                known.statusRevision = revision
                stored(service, known, current)
            }

            is WriteResult.Refused, is WriteResult.Undecided -> pause(service, RETRY_MS)
        }
    }

    private fun stored(service: ServiceId, known: DecidedRollout, status: RolloutStatus) {
        known.isPublished = true
        // While this host waited for the reply, a newer order may have come.
        if (decided[service] !== known) return
        known.rollout.adopt(status.state)
        view.recordStatus(service, status)
        if (!status.state.isFinal) return
        known.isStored = true
        metrics.recordVerdict(service, status.state)
    }

    private fun isRecordDue(known: DecidedRollout): Boolean =
        known.rollout.exposure.dueReservation() != null ||
            clock.nowMs() - known.recordedMs >= RECORD_MS

    /**
     * Stores the counts and reserves exposure. Returns whether this host is known to be the only
     * decider.
     */
    private suspend fun writeRecord(service: ServiceId, known: DecidedRollout): Boolean {
        val rollout = known.rollout
        val reservation = rollout.exposure.dueReservation()
        val next = known.record.copy(
            decider = self.value,
            total = rollout.exposure.total,
            reserved = maxOf(
                reservation ?: 0,
                rollout.exposure.reserved,
                rollout.exposure.exposed
            ),
            counts = rollout.comparison.counts
        )
        when (val result = store.writeRecord(service, known.recordRevision, next)) {
            is WriteResult.Applied -> {
                recorded(known, result.row.revision, next)
                return true
            }

            is WriteResult.Conflict -> {
                // The reply to an earlier write of this host may have been lost.
                val current = store.recordOf(result.current)
                val isOwn = current?.decider == self.value &&
                    current.orderRevision == known.record.orderRevision
                if (current == null || !isOwn) {
                    abandon(service, "record")
                } else {
                    recorded(known, result.current?.revision ?: 0, current)
                    return true
                }
            }

            // The responses so far are kept: they may be all that shows that the version is bad.
            is WriteResult.Refused, is WriteResult.Undecided -> pause(service, RETRY_MS)
        }
        return false
    }

    private fun recorded(known: DecidedRollout, revision: Long, record: RolloutRecord) {
        known.recordRevision = revision
        known.record = record
        known.recordedMs = clock.nowMs()
        known.rollout.exposure.recordReserved(record.reserved)
    }

    /** Stops deciding until the rows have been read again. */
    private fun abandon(service: ServiceId, reason: String) {
        log.event("rollout-abandoned", "service" eq service, "reason" eq reason)
        decided.remove(service)
        pause(service, CONFLICT_MS)
    }

    private fun pause(service: ServiceId, ms: Long) {
        pausedUntilMs[service] = clock.nowMs() + ms
    }

    private fun logDecision(service: ServiceId, known: DecidedRollout, state: RolloutState) {
        val name = if (state.isFinal) "rollout-decided" else "rollout-accepted"
        if (known.logged == name) return
        known.logged = name
        val rollout = known.rollout
        val counts = rollout.comparison.total
        log.event(
            name,
            "service" eq service,
            "to" eq rollout.order.to,
            "state" eq state,
            "elapsedShare" eq rollout.elapsedShare,
            "requests" eq rollout.exposure.total,
            "exposed" eq rollout.exposure.exposed,
            "new" eq counts.new,
            "newBad" eq counts.newBad,
            "old" eq counts.old,
            "oldBad" eq counts.oldBad,
            "evidence" eq rollout.comparison.evidence,
            "peak" eq rollout.comparison.peak,
            "newServer" eq hasServer(service, rollout.order.to),
            "ageMs" eq view.ageMs
        )
    }

    private companion object {
        const val RETRY_MS = 200L

        // Lets the other decider finish, if there is one.
        const val CONFLICT_MS = 600L

        // Age of the counts with which another decider would continue.
        const val RECORD_MS = 1_000L
    }
}
