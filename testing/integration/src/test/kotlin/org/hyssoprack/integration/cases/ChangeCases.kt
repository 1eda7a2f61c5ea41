package org.hyssoprack.integration.cases

import assertk.assertThat
import assertk.assertions.doesNotContain
import assertk.assertions.isEqualTo
import assertk.assertions.isTrue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.integration.SharedDeployment
import org.hyssoprack.integration.audit.Promise
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallOutcome
import org.hyssoprack.standins.engine.EngineFaults
import org.hyssoprack.standins.hostlist.HostListFaults
import org.hyssoprack.standins.platform.Outage
import org.hyssoprack.standins.table.TableFaults

/** Cases of leaving backend servers and gracefully stopping hosts, under traffic. */
internal object ChangeCases {
    val all: List<PromiseCase> = listOf(
        case(Promise.LEAVING, Fault.NONE, "marked in the host list") { shared ->
            markLeavingUnderTraffic(shared)
        },
        case(Promise.LEAVING, Fault.STORE_DOWN, "marked while the table service hangs") { shared ->
            shared.deployment.platform.setTableFaults(TableFaults(outage = Outage.HANG))
            markLeavingUnderTraffic(shared)
        },
        case(Promise.LEAVING, Fault.PROCESS_DIES, "marked while a host dies") { shared ->
            shared.deployment.kill(shared.deployment.hosts.last())
            markLeavingUnderTraffic(shared, hosts = 2)
        },
        case(Promise.LEAVING, Fault.HOLDER_PAUSED, "marked while a host sleeps") { shared ->
            shared.deployment.pause(shared.deployment.hosts.last())
            markLeavingUnderTraffic(shared, hosts = 2)
        },
        case(
            Promise.LEAVING,
            Fault.STORE_DOWN,
            "its own report while the host list hangs"
        ) { shared ->
            shared.deployment.platform.setHostListFaults(HostListFaults(outage = Outage.HANG))
            val name = shared.deployment.backends.engineNames.first()
            shared.deployment.backends.setEngineFaults(name, EngineFaults(leaving = true))
            delay(LEAVING_LIMIT_MS)
            val before = shared.runsOn(name)
            repeat(CALLS) { shared.call(shared.spec(CallKind.QUESTION)) }
            assertThat(shared.runsOn(name)).isEqualTo(before)
        },
        case(
            Promise.GRACEFUL_STOP,
            Fault.NONE,
            "requests in progress and new ones go on"
        ) { shared ->
            stop(shared, signals = 1)
        },
        case(
            Promise.GRACEFUL_STOP,
            Fault.NONE,
            "a second stop signal cuts nothing off"
        ) { shared ->
            stop(shared, signals = 2)
        },
        case(Promise.GRACEFUL_STOP, Fault.STORE_DOWN, "while the table service hangs") { shared ->
            shared.deployment.platform.setTableFaults(TableFaults(outage = Outage.HANG))
            stop(shared, signals = 1)
            shared.deployment.platform.setTableFaults(TableFaults())
        },
        case(
            Promise.GRACEFUL_STOP,
            Fault.BURST,
            "all hosts replaced in turn under load"
        ) { shared ->
            shared.deployment.hosts.indices.forEach { stop(shared, signals = 1, host = it) }
        }
    )

    private suspend fun CoroutineScope.markLeavingUnderTraffic(
        shared: SharedDeployment,
        hosts: Int = 3
    ) {
        val name = shared.deployment.backends.engineNames.first()
        val traffic = traffic(shared, hosts)
        delay(500)
        shared.deployment.setLeaving(name, isLeaving = true)
        delay(LEAVING_LIMIT_MS + OBSERVED_MS)
        traffic.cancel()
        shared.deployment.setLeaving(name, isLeaving = false)
    }

    private suspend fun CoroutineScope.stop(shared: SharedDeployment, signals: Int, host: Int = 0) {
        val deployment = shared.deployment
        val stopped = deployment.hosts[host]
        val long = List(LONG_CALLS) {
            val spec = shared.spec(CallKind.LETTER, tokens = LONG_TOKENS)
            async { shared.caller.call(stopped, spec) }
        }
        long.forEachIndexed { i, _ -> if (i == 0) delay(800) }
        deployment.stop(stopped)
        if (signals > 1) {
            delay(200)
            deployment.stop(stopped)
        }
        delay(300)
        val others = deployment.hosts.filter { it !== stopped && it.isAlive }
        deployment.await("${others.first().name} no longer lists ${stopped.name}") {
            stopped.name !in others.first().listedHosts()
        }
        val late = shared.caller.call(stopped, shared.spec(CallKind.LETTER))
        assertThat(late.result.outcome).isEqualTo(CallOutcome.DONE)
        val outcomes = long.awaitAll().map { it.result.outcome }.distinct()
        assertThat(outcomes).isEqualTo(listOf(CallOutcome.DONE))
        assertThat(deployment.awaitEnd(stopped, STOP_MS)).isTrue()
        assertThat(others.flatMap { it.listedHosts() }).doesNotContain(stopped.name)
        deployment.restart(stopped)
    }

    private fun CoroutineScope.traffic(shared: SharedDeployment, hosts: Int): Job = launch {
        var next = 0
        while (true) {
            val host = shared.deployment.hosts[next++ % hosts]
            launch { shared.caller.call(host, shared.spec(CallKind.QUESTION, tokens = 3)) }
            delay(40)
        }
    }

    private const val LEAVING_LIMIT_MS = 3_000L
    private const val OBSERVED_MS = 1_500L
    private const val CALLS = 12
    private const val LONG_CALLS = 4
    private const val LONG_TOKENS = 250
    private const val STOP_MS = 30_000L

    private fun case(
        promise: Promise,
        fault: Fault,
        name: String,
        run: suspend CoroutineScope.(SharedDeployment) -> Unit
    ) = PromiseCase(promise, setOf(fault), name, run)
}
