package org.hyssoprack.orders

import arrow.core.Either
import org.hyssoprack.backend.EngineStatus
import org.hyssoprack.common.Failure
import org.hyssoprack.store.BackendServer

/** Orders to engines. At most one host at a time gives orders to a backend server. */
interface OrderService {
    /**
     * Brings [server] to the state [desired] and gives its status back once it is there. May be
     * repeated safely. Fails with LEASE_HELD if another host gives orders to the server,
     * ORDER_REFUSED if the server or the weight store does not accept the order,
     * OUTCOME_UNDECIDED if the server's state could not be read afterwards, STORE_LIMITED or
     * STORE_UNAVAILABLE. Returns within [OrderSettings.callLimitMs] at the latest.
     */
    suspend fun order(server: BackendServer, desired: DesiredState): Either<Failure, EngineStatus>

    /** Gives the lease of [server] up, so that the next host need not wait for its end. */
    suspend fun release(server: BackendServer)
}
