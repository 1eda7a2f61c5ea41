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
import org.hyssoprack.integration.caller.ToldOutcome
import org.hyssoprack.integration.deployment.HostUnderTest
import org.hyssoprack.standins.engine.EngineFaults

/** "Not run" is told only of requests that did not run, and retries run nothing twice. */
internal object NotRunCases {
    val all: List<PromiseCase> = listOf(
        case(Promise.NOT_RUN_IS_TRUE, Fault.SILENCE, "engines that refuse connections") { shared ->
            val engines = shared.deployment.backends.engineNames
            engines.forEach { shared.deployment.proxy.set(it, ListenerFaults(refuse = true)) }
            val told = shared.call(shared.spec(CallKind.LETTER).copy(deadlineMs = 2_000)).told
            assertThat(told.outcome).isEqualTo(ToldOutcome.NOT_RUN)
        },
        case(Promise.NOT_RUN_IS_TRUE, Fault.BAD_ANSWER, "an engine that refuses") { shared ->
            val backends = shared.deployment.backends
            val faults = EngineFaults(refuseNext = 1)
            backends.engineNames.forEach { backends.setEngineFaults(it, faults) }
            val told = shared.call(shared.spec(CallKind.LETTER)).told
            assertThat(told.outcome).isIn(ToldOutcome.NOT_RUN, ToldOutcome.DONE)
        },
        case(
            Promise.NOT_RUN_IS_TRUE,
            Fault.SILENCE,
            "an engine's reply lost after it began"
        ) { shared ->
            val engines = shared.deployment.backends.engineNames
            val faults = ListenerFaults(loseReplyShare = 1.0)
            engines.forEach { shared.deployment.proxy.set(it, faults) }
            val told = shared.call(shared.spec(CallKind.LETTER)).told
            assertThat(told.outcome).isIn(ToldOutcome.UNKNOWN, ToldOutcome.DONE)
        },
        case(Promise.AT_MOST_ONCE, Fault.NONE, "a retry of a request that ran") { shared ->
            val first = shared.call(shared.spec(CallKind.LETTER))
            val retries = shared.deployment.hosts.map { shared.caller.repeat(it, first).told }
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
            val retry = shared.caller.repeat(hosts.last(), first.await())
            assertThat(retry.told.outcome).isEqualTo(ToldOutcome.UNKNOWN)
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
            val retry = shared.caller.repeat(shared.deployment.hosts.first(), first.await())
            assertThat(retry.told.outcome).isEqualTo(ToldOutcome.UNKNOWN)
        },
        case(
            Promise.AT_MOST_ONCE,
            Fault.HOLDER_PAUSED,
            "a retry while the first host sleeps"
        ) { shared ->
            val host = shared.deployment.hosts.last()
            val retried = retryWhileAsleep(shared, host)
            shared.deployment.resume(host)
            assertThat(retried).isIn(ToldOutcome.UNKNOWN, ToldOutcome.NOT_RUN)
        }
    )

    private suspend fun CoroutineScope.retryWhileAsleep(
        shared: SharedDeployment,
        host: HostUnderTest
    ): ToldOutcome {
        shared.deployment.pause(host)
        val first = async { shared.caller.call(host, shared.spec(CallKind.LETTER)) }
        delay(500)
        shared.deployment.proxy.cut("callers-${host.name}")
        return shared.caller.repeat(shared.deployment.hosts.first(), first.await()).told.outcome
    }

    private val UNKNOWN = listOf(ToldOutcome.UNKNOWN)

    private fun case(
        promise: Promise,
        fault: Fault,
        name: String,
        run: suspend CoroutineScope.(SharedDeployment) -> Unit
    ) = PromiseCase(promise, setOf(fault), name, run)
}
