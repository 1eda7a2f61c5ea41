package org.hyssoprack.host

import assertk.assertThat
import assertk.assertions.isEqualTo
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.backend.EngineUsage
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.RouteName
import org.hyssoprack.common.SystemClock
import org.hyssoprack.common.TierName
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.Pool
import org.hyssoprack.policy.Route
import org.hyssoprack.policy.Tier
import org.hyssoprack.scheduling.EntryOutput
import org.hyssoprack.scheduling.WaitingRequest
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.BackendServerKind

class CompletionRunTest {
    private class Case(
        val name: String,
        val events: List<EngineEvent>,
        val preempt: Boolean? = null,
        val engineResumes: Boolean = true,
        val callerStays: Boolean = true,
        val code: ResultCode?,
        val dispatched: Boolean = true,
        val engineCalls: List<String> = listOf("complete")
    )

    private val cases = listOf(
        Case("a complete response succeeds", listOf(TOKEN, FINISHED), code = null),
        Case(
            name = "a refused connection did not run",
            events = listOf(failed(ResultCode.BACKEND_REFUSED)),
            code = ResultCode.BACKEND_REFUSED,
            dispatched = false
        ),
        Case(
            name = "a broken stream may have run",
            events = listOf(TOKEN, failed(ResultCode.STREAM_BROKEN)),
            code = ResultCode.STREAM_BROKEN
        ),
        Case(
            name = "a caller that leaves ends the run",
            events = listOf(TOKEN, TOKEN),
            callerStays = false,
            code = ResultCode.CALLER_LEFT_RUNNING
        ),
        Case(
            name = "a preempted request is cancelled on the engine",
            events = listOf(TOKEN),
            preempt = false,
            code = ResultCode.PREEMPTED,
            engineCalls = listOf("complete", "cancel")
        ),
        Case(
            name = "a request that cannot be resumed is broken",
            events = listOf(TOKEN),
            preempt = true,
            engineResumes = false,
            code = ResultCode.STREAM_BROKEN,
            engineCalls = listOf("complete", "suspend") + List(5) { "resume" } + "cancel"
        )
    )

    @Example
    fun `each end of a stream gives its outcome`() = cases.forEach { case ->
        val engine = FakeEngine(resumes = case.engineResumes)
        case.events.forEach { engine.events.trySend(it) }
        val end = runBlocking { run(engine, case.preempt, case.callerStays) }
        assertThat(end.failure?.code, case.name).isEqualTo(case.code)
        assertThat(end.dispatched, case.name).isEqualTo(case.dispatched)
        assertThat(engine.calls, case.name).isEqualTo(case.engineCalls)
    }

    @Example
    fun `a suspended request is resumed and finishes`() {
        val engine = FakeEngine()
        engine.events.trySend(TOKEN)
        val end = runBlocking {
            launch {
                while ("resume" !in engine.calls) delay(5)
                engine.events.send(FINISHED)
            }
            run(engine, preempt = true, callerStays = true)
        }
        assertThat(end.failure).isEqualTo(null)
        assertThat(engine.calls).isEqualTo(listOf("complete", "suspend", "resume"))
    }

    private suspend fun run(
        engine: FakeEngine,
        preempt: Boolean?,
        callerStays: Boolean
    ): RequestEnd = coroutineScope {
        val scheduler = ScriptedScheduler { listOf(EntryOutput.Dispatch(it.id, SERVER.id)) }
        scheduler.queued = listOfNotNull(preempt?.let { EntryOutput.Preempt(ID, SERVER.id, it) })
        val entry = EntryTask(scheduler, SystemClock, send = { _, _ -> })
        val task = entry.start(this)
        val request = request()
        val signals = entry.submit(request.waiting)
        val end = CompletionRun(request, SERVER, engine, entry, SystemClock, NoOpEventLog)
            .run(signals, FixedSink(callerStays))
        task.cancelAndJoin()
        end
    }

    private class FixedSink(private val callerStays: Boolean) : ResponseSink {
        override suspend fun token(data: String) = callerStays

        override suspend fun finished(usage: EngineUsage) = callerStays
    }

    private fun request() = AdmittedRequest(
        id = ID,
        account = ACCOUNT,
        route = Route(
            name = RouteName("route"),
            conditions = emptyList(),
            tier = Tier(TierName("top"), TierRank(0), objective = 0.99),
            pool = PoolName("pool"),
            deadlineMs = DEADLINE_MS
        ),
        pool = Pool(PoolName("pool")),
        bundle = BundleVersion(1),
        waiting = WaitingRequest(
            id = ID,
            account = ACCOUNT,
            share = 1,
            tier = TierRank(0),
            pool = PoolName("pool"),
            arrivedAtMs = SystemClock.nowMs(),
            deadlineAtMs = SystemClock.nowMs() + DEADLINE_MS
        ),
        call = CallerRequest(method = "POST", path = "/v1/completions", body = ByteArray(0)),
        firstAttempt = true
    )

    private companion object {
        const val DEADLINE_MS = 60_000L
        val ID = RequestId("h1~a~1")
        val ACCOUNT = ClientAccount("account")
        val TOKEN = EngineEvent.Token(index = 0, data = "{}")
        val FINISHED = EngineEvent.Finished(EngineUsage(completionTokens = 1))
        val SERVER = BackendServer(
            id = BackendServerId("e1"),
            kind = BackendServerKind.ENGINE,
            address = NetworkAddress("127.0.0.1", 1),
            domain = FailureDomain("d1")
        )

        fun failed(code: ResultCode) = EngineEvent.Failed(Failure(code, "test"), EngineUsage())
    }
}
