package org.hyssoprack.integration.cases

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isIn
import assertk.assertions.isNotEqualTo
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import org.hyssoprack.integration.SharedDeployment
import org.hyssoprack.integration.audit.Promise
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallOutcome
import org.hyssoprack.standins.engine.EngineFaults
import org.hyssoprack.standins.service.ServiceFaults

/** Cases of [Promise.WHOLE_ANSWER]: a caller gets the whole answer to its request or an error. */
internal object WholeAnswerCases {
    private class FaultCase(val name: String, val faults: EngineFaults, val isWhole: Boolean)

    private val faultCases = listOf(
        FaultCase("a stream that falls silent is resumed", EngineFaults(freezeNext = 1), true),
        FaultCase("a stream that is cut is resumed", EngineFaults(cutNext = 1), isWhole = true),
        FaultCase("an answer under another id is refused", EngineFaults(swapIdNext = 1), false),
        FaultCase("an answer mixed with another is refused", EngineFaults(mixNext = 1), false),
        FaultCase(
            "an answer that lacks a token is completed",
            EngineFaults(skipNext = 1),
            isWhole = true
        ),
        FaultCase(
            "an answer that ends early is completed",
            EngineFaults(shortNext = 1),
            isWhole = true
        )
    )

    val all: List<PromiseCase> = faultCases.map(::engineCase) + listOf(
        case("a cut connection to an engine is replaced and the answer is whole") { shared ->
            val call = async { shared.call(shared.spec(CallKind.LETTER, tokens = LONG_TOKENS)) }
            delay(MID_ANSWER_MS)
            shared.deployment.backends.engineNames.forEach { shared.deployment.proxy.cut(it) }
            assertThat(call.await().result.outcome).isEqualTo(CallOutcome.DONE)
        },
        case("a silent connection to an engine is replaced and the answer is whole") { shared ->
            val call = async { shared.call(shared.spec(CallKind.LETTER, tokens = LONG_TOKENS)) }
            delay(MID_ANSWER_MS)
            shared.deployment.backends.engineNames.forEach { shared.deployment.proxy.silence(it) }
            assertThat(call.await().result.outcome).isEqualTo(CallOutcome.DONE)
        },
        PromiseCase(
            Promise.WHOLE_ANSWER,
            setOf(Fault.PROCESS_DIES),
            "an engine that dies leaves no caller with half an answer as a whole one"
        ) { shared ->
            val engines = shared.deployment.backends.engineNames
            val call = async { shared.call(shared.spec(CallKind.LETTER, tokens = LONG_TOKENS)) }
            delay(MID_ANSWER_MS)
            engines.forEach { shared.deployment.backends.kill(it) }
            assertThat(call.await().result.outcome).isEqualTo(CallOutcome.UNKNOWN)
            engines.forEach { shared.deployment.backends.restart(it) }
        },
        PromiseCase(
            Promise.WHOLE_ANSWER,
            setOf(Fault.BAD_ANSWER),
            "a service's answer under another id or cut in the middle is not passed on"
        ) { shared ->
            val faults = ServiceFaults(swapIdNext = 1, cutNext = 1)
            val services = shared.deployment.backends.serviceNames
            services.forEach { shared.deployment.backends.setServiceFaults(it, faults) }
            repeat(services.size * 2) {
                val result = shared.call(shared.spec(CallKind.LOOKUP)).result
                assertThat(result.outcome).isIn(CallOutcome.UNKNOWN, CallOutcome.DONE)
            }
        }
    )

    private fun engineCase(faultCase: FaultCase) = PromiseCase(
        Promise.WHOLE_ANSWER,
        setOf(Fault.BAD_ANSWER),
        faultCase.name
    ) { shared ->
        val backends = shared.deployment.backends
        backends.engineNames.forEach { backends.setEngineFaults(it, faultCase.faults) }
        val result = shared.call(shared.spec(CallKind.LETTER)).result
        if (faultCase.isWhole) assertThat(result.outcome).isEqualTo(CallOutcome.DONE)
        if (!faultCase.isWhole) assertThat(result.outcome).isNotEqualTo(CallOutcome.DONE)
    }

    private fun case(name: String, run: suspend CoroutineScope.(SharedDeployment) -> Unit) =
        PromiseCase(Promise.WHOLE_ANSWER, setOf(Fault.SILENCE), name, run)

    private const val LONG_TOKENS = 150
    private const val MID_ANSWER_MS = 700L
}
