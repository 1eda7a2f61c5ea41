package org.hyssoprack.integration.cases

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isIn
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import org.hyssoprack.faultproxy.ListenerFaults
import org.hyssoprack.integration.SharedDeployment
import org.hyssoprack.integration.audit.Promise
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallOutcome
import org.hyssoprack.integration.deployment.HostUnderTest
import org.hyssoprack.standins.engine.EngineFaults

/** Cases in which "not run" must be true, and in which retries must not run a request again. */
internal object NotRunCases {
    val all: List<PromiseCase> = listOf(
        case(Promise.NOT_RUN_IS_TRUE, Fault.SILENCE, "engines that refuse connections") { shared ->
            val engines = shared.deployment.backends.engineNames
            engines.forEach { shared.deployment.proxy.set(it, ListenerFaults(refuse = true)) }
            val result = shared.call(shared.spec(CallKind.LETTER).copy(deadlineMs = 2_000)).result
            assertThat(result.outcome).isEqualTo(CallOutcome.NOT_RUN)
        },
        case(Promise.NOT_RUN_IS_TRUE, Fault.BAD_ANSWER, "an engine that refuses") { shared ->
            val backends = shared.deployment.backends
            val faults = EngineFaults(refuseNext = 1)
            backends.engineNames.forEach { backends.setEngineFaults(it, faults) }
            val result = shared.call(shared.spec(CallKind.LETTER)).result
            assertThat(result.outcome).isIn(CallOutcome.NOT_RUN, CallOutcome.DONE)
        },
        case(
            Promise.NOT_RUN_IS_TRUE,
            Fault.SILENCE,
            "an engine's reply lost after it began"
        ) { shared ->
            val engines = shared.deployment.backends.engineNames
            val faults = ListenerFaults(loseReplyShare = 1.0)
            engines.forEach { shared.deployment.proxy.set(it, faults) }
            val result = shared.call(shared.spec(CallKind.LETTER)).result
            assertThat(result.outcome).isIn(CallOutcome.UNKNOWN, CallOutcome.DONE)
        },
        case(Promise.AT_MOST_ONCE, Fault.NONE, "a retry of a request that ran") { shared ->
            val first = shared.call(shared.spec(CallKind.LETTER))
            val retries = shared.deployment.hosts.map { shared.caller.retry(it, first).result }
            assertThat(retries.map { it.outcome }.distinct()).isEqualTo(UNKNOWN)
        },
        case(
            Promise.AT_MOST_ONCE,
            Fault.SILENCE,
            "a retry while the first attempt runs"
        ) { shared ->
            val hosts = shared.deployment.hosts
            val spec = shared.spec(CallKind.LETTER, tokens = 100)
            val first = async { shared.caller.call(hosts.first(), spec) }
            shared.deployment.await("the letter began") { shared.runsOf(spec) == 1 }
            shared.deployment.proxy.cut("callers-${hosts.first().name}")
            val retry = shared.caller.retry(hosts.last(), first.await())
            assertThat(retry.result.outcome).isEqualTo(CallOutcome.UNKNOWN)
        },
        case(
            Promise.AT_MOST_ONCE,
            Fault.PROCESS_DIES,
            "a retry after the first host died"
        ) { shared ->
            val host = shared.deployment.hosts.last()
            val spec = shared.spec(CallKind.LETTER, tokens = 200)
            val first = async { shared.caller.call(host, spec) }
            shared.deployment.await("the letter began") { shared.runsOf(spec) == 1 }
            shared.deployment.kill(host)
            val retry = shared.caller.retry(shared.deployment.hosts.first(), first.await())
            assertThat(retry.result.outcome).isEqualTo(CallOutcome.UNKNOWN)
        },
        case(
            Promise.AT_MOST_ONCE,
            Fault.HOLDER_PAUSED,
            "a retry while the first host sleeps"
        ) { shared ->
            val host = shared.deployment.hosts.last()
            val retried = retryWhilePaused(shared, host)
            shared.deployment.resume(host)
            assertThat(retried).isIn(CallOutcome.UNKNOWN, CallOutcome.NOT_RUN)
        }
    )

    private suspend fun CoroutineScope.retryWhilePaused(
        shared: SharedDeployment,
        host: HostUnderTest
    ): CallOutcome {
        shared.deployment.pause(host)
        val first = async { shared.caller.call(host, shared.spec(CallKind.LETTER)) }
        delay(500)
        shared.deployment.proxy.cut("callers-${host.name}")
        return shared.caller.retry(shared.deployment.hosts.first(), first.await()).result.outcome
    }

    private val UNKNOWN = listOf(CallOutcome.UNKNOWN)

    private fun case(
        promise: Promise,
        fault: Fault,
        name: String,
        run: suspend CoroutineScope.(SharedDeployment) -> Unit
    ) = PromiseCase(promise, setOf(fault), name, run)
}
