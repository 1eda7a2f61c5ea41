package org.hyssoprack.gateway.forwarding.parts

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.ServerConnections
import org.hyssoprack.gateway.forwarding.RequestAdmission
import org.hyssoprack.gateway.forwarding.RequestForwarder
import org.hyssoprack.gateway.forwarding.RequestTelemetry
import org.hyssoprack.gateway.forwarding.failover.PlainWireFormat
import org.hyssoprack.gateway.forwarding.ratelimit.SimulatedHost
import org.hyssoprack.serving.limits.RetryBudget
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.serving.settings.ActiveSettings
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.serving.settings.Route
import org.hyssoprack.serving.settings.RouteKind
import org.hyssoprack.serving.settings.ServiceShare
import org.hyssoprack.serving.settings.ServingSettings

/** A host of a simulated fleet that forwards requests of each [RouteKind] to [service]. */
internal class ForwardingHost(
    val host: SimulatedHost,
    private val clock: Clock,
    private val service: ServiceId,
    connections: ServerConnections
) {
    private val settings = ActiveSettings(clock, maxAgeMs = { Long.MAX_VALUE })
    val forwarder = RequestForwarder(
        wire = PlainWireFormat,
        connections = connections,
        admission = RequestAdmission(settings),
        pools = host.pools,
        slots = host.slots.client,
        retryBudget = RetryBudget(
            clock = clock,
            ratio = { RETRY_RATIO },
            slack = { RETRIES },
            windowMs = WINDOW_MS,
            hostCount = { 1 }
        ),
        telemetry = RequestTelemetry(NoOpEventLog, SimpleMeterRegistry(), settings, clock),
        clock = clock,
        log = NoOpEventLog
    )

    /** Whether its process has ended. */
    var isKilled = false

    init {
        settings.accept(
            ServingSettings(
                version = BundleVersion(1),
                routes = RouteKind.entries.map { route(it) },
                services = emptyList(),
                accounts = mapOf(KEY to Account(ClientAccount("a")))
            )
        )
        settings.confirm(ClockReading.now(clock))
    }

    private fun route(kind: RouteKind) = Route(
        name = RouteName(kind.name),
        host = "h",
        prefix = "/${kind.name}/",
        kind = kind,
        shares = listOf(ServiceShare(service, weight = 1)),
        timeoutMs = TIMEOUT_MS,
        targetMs = TARGET_MS,
        pauseMs = TARGET_MS,
        maxAttempts = MAX_ATTEMPTS
    )

    companion object {
        const val KEY = "k"
        private const val TIMEOUT_MS = 12_000L
        private const val TARGET_MS = 400L
        private const val MAX_ATTEMPTS = 3
        private const val WINDOW_MS = 10_000L
        private const val RETRY_RATIO = 0.2
        private const val RETRIES = 20.0
    }
}
