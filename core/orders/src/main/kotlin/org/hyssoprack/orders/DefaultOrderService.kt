package org.hyssoprack.orders

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.backend.EngineClient
import org.hyssoprack.backend.EngineOrder
import org.hyssoprack.backend.EngineStatus
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WeightStore

/**
 * [OrderService] with a lease row and a fencing number for each backend server. The lease is
 * checked right before each order, so that a host that was paused until its lease expired sends
 * nothing.
 */
class DefaultOrderService(
    self: HostRef,
    table: TableService,
    weights: WeightStore,
    private val engines: EngineClient,
    private val clock: Clock,
    private val settings: OrderSettings = OrderSettings(),
    private val log: EventLog = NoOpEventLog,
    private val pause: suspend (Long) -> Unit = { delay(it) }
) : OrderService {
    private val acquirer = LeaseAcquirer(self, table, clock, settings, pause)
    private val versions = VersionResolver(weights, clock, settings, pause)
    private val leases = ConcurrentHashMap<BackendServerId, OrderLease>()
    private val mutexes = ConcurrentHashMap<BackendServerId, Mutex>()

    override suspend fun order(
        server: BackendServer,
        desired: DesiredState
    ): Either<Failure, EngineStatus> {
        val mutex = mutexes.getOrPut(server.id) { Mutex() }
        return withTimeoutOrNull(settings.callLimitMs) { mutex.withLock { run(server, desired) } }
            ?: Failure(
                code = ResultCode.OUTCOME_UNDECIDED,
                detail = "The order did not complete within ${settings.callLimitMs} ms."
            ).left()
    }

    override suspend fun release(server: BackendServer) {
        val lease = leases.remove(server.id) ?: return
        acquirer.release(server, lease)
    }

    private suspend fun run(
        server: BackendServer,
        desired: DesiredState
    ): Either<Failure, EngineStatus> = either {
        val version = versions.choose(desired).bind()
        lease(server).bind()
        send(server, desired, version).bind()
        // A delayed order of a former holder may still reach a server that does not check fencing
        // numbers, so its status is checked several times.
        val checks = if (server.checksFencing) 1 else settings.checks
        var status: EngineStatus? = null
        repeat(checks) {
            status = check(server, desired, version).bind()
        }
        status ?: raise(undecided(server))
    }

    private suspend fun lease(server: BackendServer): Either<Failure, OrderLease> {
        val held = leases[server.id]
        if (held != null && clock.nowMs() < held.endsMs) return ensureTermLeft(server)
        return acquirer.acquire(server).onRight { leases[server.id] = it }
    }

    /** Renews the lease if at most half of its term is left; fails if it has expired. */
    private suspend fun ensureTermLeft(server: BackendServer): Either<Failure, OrderLease> {
        val held = leases[server.id] ?: return leaseExpired(server).left()
        val leftMs = held.endsMs - clock.nowMs()
        if (leftMs > settings.termMs / 2) return held.right()
        leases.remove(server.id)
        if (leftMs <= 0) return leaseExpired(server).left()
        return acquirer.renew(server, held).onRight { leases[server.id] = it }
    }

    private suspend fun send(
        server: BackendServer,
        desired: DesiredState,
        version: String
    ): Either<Failure, Unit> {
        val lease = leases[server.id]
        if (lease == null || lease.endsMs - clock.nowMs() < settings.minRemainingMs) {
            leases.remove(server.id)
            return leaseExpired(server).left()
        }
        val order = EngineOrder(
            fencing = lease.fencing,
            model = desired.model,
            version = version,
            adapters = desired.adapters,
            role = desired.role
        )
        log.event("order-sent", "server" eq server.id, "fencing" eq lease.fencing)
        val failure = engines.order(server, order).leftOrNull() ?: return Unit.right()
        if (failure.code != ResultCode.ORDER_REFUSED) return Unit.right()
        leases.remove(server.id)
        return failure.left()
    }

    /** Reads the status after a pause; sends the order again while it differs from [desired]. */
    private suspend fun check(
        server: BackendServer,
        desired: DesiredState,
        version: String
    ): Either<Failure, EngineStatus> = either {
        repeat(CHECK_ATTEMPTS) {
            pause(settings.checkDelayMs)
            val status = engines.status(server).mapLeft { undecided(server) }.bind()
            if (isMet(status, desired, version)) return@either status
            // An expired lease is not acquired again here, as that might undo the order of a later
            // holder.
            ensureTermLeft(server).bind()
            send(server, desired, version).bind()
        }
        raise(undecided(server))
    }

    private fun isMet(status: EngineStatus, desired: DesiredState, version: String) =
        status.model == desired.model &&
            status.version == version &&
            status.adapters == desired.adapters &&
            status.role == desired.role

    private fun leaseExpired(server: BackendServer) =
        Failure(ResultCode.LEASE_HELD, "The order lease of ${server.id} has expired.")

    private fun undecided(server: BackendServer) =
        Failure(ResultCode.OUTCOME_UNDECIDED, "${server.id} did not confirm the ordered state.")

    private companion object {
        const val CHECK_ATTEMPTS = 4
    }
}
