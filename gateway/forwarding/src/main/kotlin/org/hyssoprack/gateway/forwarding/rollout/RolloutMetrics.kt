package org.hyssoprack.gateway.forwarding.rollout

import io.micrometer.core.instrument.MeterRegistry
import org.hyssoprack.common.ServiceId
import org.hyssoprack.rollout.Rollout
import org.hyssoprack.rollout.RolloutState

/** Metrics of the roll-outs that this host decides. */
class RolloutMetrics(private val registry: MeterRegistry) {
    private val exposed = HashMap<ServiceId, Long>()

    /** Records how many requests the new version got; the metric is their sum over all orders. */
    fun recordExposure(service: ServiceId, rollout: Rollout) {
        val now = rollout.exposure.exposed
        val before = exposed.put(service, now) ?: 0
        if (now == before) return
        registry.counter("hyssoprack.rollouts.exposed", "service", service.value)
            .increment((if (now > before) now - before else now).toDouble())
    }

    /** Records that the final [state] of a roll-out was stored. */
    fun recordVerdict(service: ServiceId, state: RolloutState) = registry.counter(
        "hyssoprack.rollouts.ended",
        "service",
        service.value,
        "state",
        state.name.lowercase()
    ).increment()
}
