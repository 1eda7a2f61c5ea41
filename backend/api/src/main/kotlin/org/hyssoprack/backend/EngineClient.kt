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
     * A stream that breaks or times out is resumed on a new connection at the next token.
     */
    fun complete(server: BackendServer, call: EngineCall): Flow<EngineEvent>

    /** Suspends a running request; its stream pauses until [resume]. */
    suspend fun suspendRequest(server: BackendServer, requestId: RequestId): Either<Failure, Unit>

    /** Resumes a suspended request. */
    suspend fun resume(server: BackendServer, requestId: RequestId): Either<Failure, Unit>

    /** Cancels a request; on success the engine no longer processes it. */
    suspend fun cancel(server: BackendServer, requestId: RequestId): Either<Failure, Unit>

    /** Reads the load that the engine reports; the figures lag behind. */
    suspend fun load(server: BackendServer): Either<Failure, LoadReport>

    /** Reads the cache events after sequence number [after]; they are delayed and may have gaps. */
    suspend fun cacheEvents(server: BackendServer, after: Long): Either<Failure, List<CacheEvent>>

    /** Sends an order. Fails with ORDER_REFUSED if its fencing number is outdated. */
    suspend fun order(server: BackendServer, order: EngineOrder): Either<Failure, EngineStatus>

    /** Reads what the engine has loaded and the fencing number of the last accepted order. */
    suspend fun status(server: BackendServer): Either<Failure, EngineStatus>
}
