package org.hyssoprack.orders

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import org.hyssoprack.backend.CacheEvent
import org.hyssoprack.backend.EngineCall
import org.hyssoprack.backend.EngineClient
import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.backend.EngineOrder
import org.hyssoprack.backend.EngineStatus
import org.hyssoprack.backend.LoadReport
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FencingNumber
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.BackendServer

/** In-memory engine that accepts orders. */
internal class FakeEngine : EngineClient {
    /** All orders in the sequence in which they were sent, including refused ones. */
    val orders = ArrayList<EngineOrder>()

    var status = EngineStatus(FencingNumber(0), ModelId("none"), version = "0")

    /** Runs once, before the next status is read. */
    var beforeStatus: suspend () -> Unit = {}

    /** Applies an order without checking its fencing number. */
    fun applyOrder(order: EngineOrder) {
        status = EngineStatus(
            fencing = order.fencing,
            model = order.model,
            version = order.version,
            adapters = order.adapters,
            role = order.role
        )
    }

    override suspend fun order(
        server: BackendServer,
        order: EngineOrder
    ): Either<Failure, EngineStatus> {
        orders.add(order)
        if (server.checksFencing && order.fencing < status.fencing) {
            return Failure(ResultCode.ORDER_REFUSED, "outdated fencing number").left()
        }
        applyOrder(order)
        return status.right()
    }

    override suspend fun status(server: BackendServer): Either<Failure, EngineStatus> {
        val hook = beforeStatus
        beforeStatus = {}
        hook()
        return status.right()
    }

    override fun complete(server: BackendServer, call: EngineCall): Flow<EngineEvent> = emptyFlow()

    override suspend fun suspendRequest(server: BackendServer, requestId: RequestId) = done

    override suspend fun resume(server: BackendServer, requestId: RequestId) = done

    override suspend fun cancel(server: BackendServer, requestId: RequestId) = done

    override suspend fun load(server: BackendServer): Either<Failure, LoadReport> =
        LoadReport(running = 0, queued = 0, ageMs = 0).right()

    override suspend fun cacheEvents(
        server: BackendServer,
        after: Long
    ): Either<Failure, List<CacheEvent>> = emptyList<CacheEvent>().right()

    private companion object {
        val done: Either<Failure, Unit> = Unit.right()
    }
}
