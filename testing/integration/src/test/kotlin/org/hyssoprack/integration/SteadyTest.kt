package org.hyssoprack.integration

import assertk.assertThat
import assertk.assertions.containsOnly
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import net.jqwik.api.Example
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallOutcome

class SteadyTest {
    @Example
    fun `without faults every kind of call is answered whole through every host`() =
        SharedDeployment().audited { shared ->
            val records = shared.deployment.hosts.flatMap { host ->
                CallKind.entries.flatMap { kind ->
                    listOf(true, false).map { stream ->
                        async { shared.caller.call(host, shared.spec(kind, stream = stream)) }
                    }
                }
            }.awaitAll()
            records.filter { it.result.outcome != CallOutcome.DONE }.forEach(::println)
            assertThat(records.map { it.result.outcome }.distinct()).containsOnly(CallOutcome.DONE)
        }
}
