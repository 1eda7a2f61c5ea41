package org.hyssoprack.host

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.consumeAsFlow
import kotlinx.coroutines.flow.transformWhile
import org.hyssoprack.backend.CacheEvent
import org.hyssoprack.backend.EngineCall
import org.hyssoprack.backend.EngineClient
import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.backend.EngineOrder
import org.hyssoprack.backend.EngineStatus
import org.hyssoprack.backend.LoadReport
import org.hyssoprack.common.Failure
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.BackendServer

/** Engine client whose events are set by the test. */
internal class FakeEngine(private val resumes: Boolean = true) : EngineClient {
    val events = Channel<EngineEvent>(Channel.UNLIMITED)
    val calls = mutableListOf<String>()

    override fun complete(server: BackendServer, call: EngineCall): Flow<EngineEvent> {
        calls += "complete"
        return events.consumeAsFlow().transformWhile {
            emit(it)
            it !is EngineEvent.Finished && it !is EngineEvent.Failed
        }
    }

    override suspend fun suspendRequest(server: BackendServer, requestId: RequestId) =
        record("suspend", done = true)

    override suspend fun resume(server: BackendServer, requestId: RequestId) =
        record("resume", done = resumes)

    override suspend fun cancel(server: BackendServer, requestId: RequestId) =
        record("cancel", done = true)

    override suspend fun load(server: BackendServer): Either<Failure, LoadReport> = unused()

    override suspend fun cacheEvents(
        server: BackendServer,
        after: Long
    ): Either<Failure, List<CacheEvent>> = unused()

    override suspend fun order(
        server: BackendServer,
        order: EngineOrder
    ): Either<Failure, EngineStatus> = unused()

    override suspend fun status(server: BackendServer): Either<Failure, EngineStatus> = unused()

    private fun record(call: String, done: Boolean): Either<Failure, Unit> {
        calls += call
        return if (done) Unit.right() else unused()
    }

    private fun unused() = Failure(ResultCode.BACKEND_FAILED, "Not supported by FakeEngine.").left()
}
