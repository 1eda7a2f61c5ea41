package org.hyssoprack.daemon

import arrow.core.Either
import arrow.core.left
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hyssoprack.backend.EngineStatus
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.orders.DesiredState
import org.hyssoprack.orders.OrderService
import org.hyssoprack.store.BackendServer

/** Handles operators' orders to backend servers. */
internal class OrderEndpoint(
    private val orders: OrderService,
    private val server: (BackendServerId) -> BackendServer?
) {
    /**
     * Sends the order in [json], an [OrderBody]. Fails with BODY_INVALID, NO_BACKEND_SERVER or the
     * failure of the order.
     */
    suspend fun send(json: String): Either<Failure, EngineStatus> {
        val body = try {
            Json.decodeFromString<OrderBody>(json)
        } catch (e: SerializationException) {
            val detail = "Expected 'server', 'model', and optionally 'version', 'adapters', 'role'."
            return Failure(ResultCode.BODY_INVALID, detail).left()
        }
        val server = server(BackendServerId(body.server)) ?: return unknownServer(body).left()
        return orders.order(server, desiredState(body))
    }

    private fun desiredState(body: OrderBody) = DesiredState(
        model = ModelId(body.model),
        version = body.version,
        adapters = body.adapters,
        role = body.role
    )

    private fun unknownServer(body: OrderBody) = Failure(
        ResultCode.NO_BACKEND_SERVER,
        "The host list has no backend server '${body.server}'."
    )
}
