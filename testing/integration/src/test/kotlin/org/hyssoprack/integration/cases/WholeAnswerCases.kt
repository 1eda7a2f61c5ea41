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
import org.hyssoprack.integration.caller.ToldOutcome
import org.hyssoprack.standins.engine.EngineFaults
import org.hyssoprack.standins.service.ServiceFaults

/** Every caller receives the whole answer to its own request, or is told that it did not. */
internal object WholeAnswerCases {
    private class Spoilt(val name: String, val faults: EngineFaults, val whole: Boolean)

    private val spoilt = listOf(
        Spoilt("a stream that falls silent is resumed", EngineFaults(freezeNext = 1), true),
        Spoilt("a stream that is cut is resumed", EngineFaults(cutNext = 1), whole = true),
        Spoilt("an answer under another id is refused", EngineFaults(swapIdNext = 1), false),
        Spoilt("an answer mixed with another is refused", EngineFaults(mixNext = 1), false),
        Spoilt(
            "an answer that lacks a token is completed",
            EngineFaults(skipNext = 1),
            whole = true
        ),
        Spoilt("an answer that ends early is completed", EngineFaults(shortNext = 1), whole = true)
    )

    val all: List<PromiseCase> = spoilt.map(::engineCase) + listOf(
        case("a cut connection to an engine is replaced and the answer is whole") { shared ->
            val call = async { shared.call(shared.spec(CallKind.LETTER, tokens = LONG)) }
            delay(MIDDLE_MS)
            shared.deployment.backends.engineNames.forEach { shared.deployment.proxy.cut(it) }
            assertThat(call.await().told.outcome).isEqualTo(ToldOutcome.DONE)
        },
        case("a silent connection to an engine is replaced and the answer is whole") { shared ->
            val call = async { shared.call(shared.spec(CallKind.LETTER, tokens = LONG)) }
            delay(MIDDLE_MS)
            shared.deployment.backends.engineNames.forEach { shared.deployment.proxy.silence(it) }
            assertThat(call.await().told.outcome).isEqualTo(ToldOutcome.DONE)
        },
        PromiseCase(
            Promise.WHOLE_ANSWER,
            setOf(Fault.PROCESS_DIES),
            "an engine that dies leaves no caller with half an answer as a whole one"
        ) { shared ->
            val engines = shared.deployment.backends.engineNames
            val call = async { shared.call(shared.spec(CallKind.LETTER, tokens = LONG)) }
            delay(MIDDLE_MS)
            engines.forEach { shared.deployment.backends.kill(it) }
            assertThat(call.await().told.outcome).isEqualTo(ToldOutcome.UNKNOWN)
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
                val told = shared.call(shared.spec(CallKind.LOOKUP)).told
                assertThat(told.outcome).isIn(ToldOutcome.UNKNOWN, ToldOutcome.DONE)
            }
        }
    )

    private fun engineCase(spoilt: Spoilt) = PromiseCase(
        Promise.WHOLE_ANSWER,
        setOf(Fault.BAD_ANSWER),
        spoilt.name
    ) { shared ->
        val backends = shared.deployment.backends
        backends.engineNames.forEach { backends.setEngineFaults(it, spoilt.faults) }
        val told = shared.call(shared.spec(CallKind.LETTER)).told
        if (spoilt.whole) assertThat(told.outcome).isEqualTo(ToldOutcome.DONE)
        if (!spoilt.whole) assertThat(told.outcome).isNotEqualTo(ToldOutcome.DONE)
    }

    private fun case(name: String, run: suspend CoroutineScope.(SharedDeployment) -> Unit) =
        PromiseCase(Promise.WHOLE_ANSWER, setOf(Fault.SILENCE), name, run)

    private const val LONG = 150
    private const val MIDDLE_MS = 700L
}
