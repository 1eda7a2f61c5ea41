package org.hyssoprack.orders

import arrow.core.Either
import org.hyssoprack.backend.EngineStatus
import org.hyssoprack.common.Failure
import org.hyssoprack.store.BackendServer

/** Sends orders to engines. At most one host at a time sends orders to a backend server. */
interface OrderService {
    /**
     * Brings [server] to the state [desired] and returns its status once that is confirmed. Safe to
     * repeat. Fails with LEASE_HELD if this host does not hold the server's order lease,
     * ORDER_REFUSED if the server refuses the order or the weight store lacks the version,
     * OUTCOME_UNDECIDED if the server's state could not be confirmed afterwards, STORE_LIMITED or
     * STORE_UNAVAILABLE. Returns within [OrderSettings.callLimitMs].
     */
    suspend fun order(server: BackendServer, desired: DesiredState): Either<Failure, EngineStatus>

    /** Releases the lease of [server], so that the next holder need not wait for its expiry. */
    suspend fun release(server: BackendServer)
}
