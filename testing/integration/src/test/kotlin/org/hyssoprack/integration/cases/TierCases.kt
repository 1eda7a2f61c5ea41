package org.hyssoprack.integration.cases

import assertk.assertThat
import assertk.assertions.isGreaterThan
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import org.hyssoprack.integration.SharedDeployment
import org.hyssoprack.integration.audit.Promise
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallOutcome
import org.hyssoprack.standins.engine.EngineFaults

/**
 * Cases of [Promise.TIERS]: a higher tier is never shed while a lower tier still runs. The audit
 * checks every shed letter.
 */
internal object TierCases {
    val all: List<PromiseCase> = listOf(
        case("letters go before a flood of questions", Fault.BURST) { overload(it) },
        case("letters go before questions while an engine is slow", Fault.STRAGGLER) { shared ->
            val slow = shared.deployment.backends.engineNames.first()
            shared.deployment.backends.setEngineFaults(slow, EngineFaults(slowdown = 5.0))
            overload(shared)
        },
        case("letters go before questions while a host sleeps", Fault.HOLDER_PAUSED) { shared ->
            shared.deployment.pause(shared.deployment.hosts.last())
            overload(shared, hosts = 2)
        },
        case("letters go before questions after a host died", Fault.PROCESS_DIES) { shared ->
            shared.deployment.kill(shared.deployment.hosts.last())
            overload(shared, hosts = 2)
        }
    )

    private suspend fun CoroutineScope.overload(shared: SharedDeployment, hosts: Int = 3) {
        val targets = shared.deployment.hosts.take(hosts)
        val questions = List(QUESTIONS) { i ->
            val spec = shared.spec(CallKind.QUESTION, tokens = QUESTION_TOKENS)
            async { shared.caller.call(targets[i % hosts], spec) }
        }
        delay(QUESTION_LEAD_MS)
        val letters = List(LETTERS) { i ->
            val spec = shared.spec(CallKind.LETTER).copy(deadlineMs = LETTER_DEADLINE_MS)
            async { shared.caller.call(targets[i % hosts], spec) }
        }
        val answered = letters.awaitAll().count { it.result.outcome == CallOutcome.DONE }
        assertThat(answered).isGreaterThan(0)
        questions.awaitAll()
    }

    private const val QUESTIONS = 60
    private const val QUESTION_TOKENS = 60
    private const val QUESTION_LEAD_MS = 700L
    private const val LETTERS = 20
    private const val LETTER_DEADLINE_MS = 4_000L

    private fun case(
        name: String,
        fault: Fault,
        run: suspend CoroutineScope.(SharedDeployment) -> Unit
    ) = PromiseCase(Promise.TIERS, setOf(fault), name, run)
}
