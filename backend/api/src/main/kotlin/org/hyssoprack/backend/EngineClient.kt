package org.hyssoprack.backend

import arrow.core.Either
import kotlinx.coroutines.flow.Flow
import org.hyssoprack.common.Failure
import org.hyssoprack.common.RequestId
import org.hyssoprack.store.BackendServer

/** Calls to model engines. Implementations never send a completion twice. */
interface EngineClient {
    /**
     * Runs [call] on [server]. Cancelling the collection cancels the request on the engine.
     * A stream that breaks or falls silent is resumed on a new connection at the token held.
     */
    fun complete(server: BackendServer, call: EngineCall): Flow<EngineEvent>

    /** Suspends a running request; its stream pauses until [resume]. */
    suspend fun suspendRequest(server: BackendServer, requestId: RequestId): Either<Failure, Unit>

    /** Resumes a suspended request. */
    suspend fun resume(server: BackendServer, requestId: RequestId): Either<Failure, Unit>

    /** Cancels a request; success means that the engine no longer works on it. */
    suspend fun cancel(server: BackendServer, requestId: RequestId): Either<Failure, Unit>

    /** The engine's own, lagging account of its load. */
    suspend fun load(server: BackendServer): Either<Failure, LoadReport>

    /** Cache events after sequence number [after]; late, and with gaps. */
    suspend fun cacheEvents(server: BackendServer, after: Long): Either<Failure, List<CacheEvent>>

    /** Gives an order. Fails with ORDER_REFUSED if the fencing number is old. */
    suspend fun order(server: BackendServer, order: EngineOrder): Either<Failure, EngineStatus>

    /** What the engine has loaded and which order it took last. */
    suspend fun status(server: BackendServer): Either<Failure, EngineStatus>
}
