package org.hyssoprack.integration.cases

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isIn
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.hyssoprack.integration.SharedDeployment
import org.hyssoprack.integration.audit.Promise
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallOutcome
import org.hyssoprack.standins.platform.Outage
import org.hyssoprack.standins.service.ServiceFaults
import org.hyssoprack.standins.table.TableFaults

/** Cases of [Promise.RUNS_ONCE]: a call that may not be repeated runs at most once. */
internal object RunsOnceCases {
    val all: List<PromiseCase> = listOf(
        case("a retry gets the recorded answer", Fault.NONE) { shared ->
            val spec = shared.spec(CallKind.BOOKING)
            val codes = shared.deployment.hosts.map { shared.caller.call(it, spec).result.code }
            assertThat(codes).isEqualTo(listOf(1000, 1001, 1001))
        },
        case("many attempts at once through all hosts run it once", Fault.BURST) { shared ->
            val spec = shared.spec(CallKind.BOOKING)
            val records = List(12) {
                async { shared.caller.call(shared.deployment.hosts[it % 3], spec) }
            }.awaitAll()
            assertThat(shared.runsOf(spec)).isEqualTo(1)
            assertThat(records.count { it.result.code == 1000 }).isEqualTo(1)
        },
        case("a key with another body is refused", Fault.NONE) { shared ->
            val spec = shared.spec(CallKind.BOOKING)
            shared.call(spec)
            val other = shared.spec(CallKind.BOOKING).copy(key = spec.key)
            assertThat(shared.call(other).result.code).isEqualTo(4011)
        },
        case(
            "while the store is down it is not run, and letters go on",
            Fault.STORE_DOWN
        ) { shared ->
            shared.deployment.platform.setTableFaults(TableFaults(outage = Outage.UNAVAILABLE))
            val spec = shared.spec(CallKind.BOOKING)
            assertThat(shared.call(spec).result.code).isEqualTo(2007)
            assertThat(shared.call(shared.spec(CallKind.LETTER)).result.code).isEqualTo(1000)
            shared.deployment.platform.setTableFaults(TableFaults())
            shared.deployment.await("a retry of the booking is done") {
                runBlocking { shared.call(spec).result.code } in DONE
            }
        },
        case("a claim whose reply is lost is settled by reading", Fault.REPLY_LOST) { shared ->
            val faults = TableFaults(loseReplyShare = 1.0, tables = listOf("claims"))
            shared.deployment.platform.setTableFaults(faults)
            val spec = shared.spec(CallKind.BOOKING)
            assertThat(shared.call(spec).result.outcome).isEqualTo(CallOutcome.DONE)
            assertThat(shared.call(spec).result.code).isIn(1001, 3006)
        },
        case(
            "a claim that takes effect late is not run, and a retry is",
            Fault.REPLY_LOST
        ) { shared ->
            val late = TableFaults(lateShare = 1.0, lateMs = 2_500, tables = listOf("claims"))
            shared.deployment.platform.setTableFaults(late)
            val spec = shared.spec(CallKind.BOOKING)
            assertThat(shared.call(spec).result.code).isEqualTo(2007)
            shared.deployment.platform.setTableFaults(TableFaults())
            shared.deployment.await("a retry of the booking is done") {
                runBlocking { shared.call(spec).result.code } in DONE
            }
        },
        case("a host that dies while it runs leaves it unknown", Fault.PROCESS_DIES) { shared ->
            val host = shared.deployment.hosts.last()
            val slow = ServiceFaults(extraLatencyMs = 1_500)
            val services = shared.deployment.backends.serviceNames
            services.forEach { shared.deployment.backends.setServiceFaults(it, slow) }
            val spec = shared.spec(CallKind.BOOKING)
            val first = async { shared.caller.call(host, spec) }
            shared.deployment.await("the booking began") { shared.runsOf(spec) == 1 }
            shared.deployment.kill(host)
            assertThat(first.await().result.outcome).isEqualTo(CallOutcome.NO_ANSWER)
            val retry = shared.call(spec)
            assertThat(retry.result.outcome).isEqualTo(CallOutcome.UNKNOWN)
        },
        case(
            "a service's lost reply leaves it unknown for every retry",
            Fault.BAD_ANSWER
        ) { shared ->
            val lost = ServiceFaults(loseReplyNext = 1)
            val services = shared.deployment.backends.serviceNames
            services.forEach { shared.deployment.backends.setServiceFaults(it, lost) }
            val spec = shared.spec(CallKind.BOOKING)
            val outcomes = List(3) { shared.call(spec).result.outcome }.distinct()
            assertThat(outcomes).isEqualTo(listOf(CallOutcome.UNKNOWN))
            assertThat(shared.runsOf(spec)).isEqualTo(1)
        },
        case("a host paused after its claim runs it once", Fault.HOLDER_PAUSED) { shared ->
            val host = shared.deployment.hosts.last()
            val slow = TableFaults(delayMs = 300, tables = listOf("claims"))
            shared.deployment.platform.setTableFaults(slow)
            val spec = shared.spec(CallKind.BOOKING)
            val first = async { shared.caller.call(host, spec) }
            delay(350)
            shared.deployment.pause(host)
            val second = async { shared.call(spec) }
            delay(3_000)
            shared.deployment.resume(host)
            listOf(first, second).awaitAll()
            assertThat(shared.runsOf(spec) <= 1).isEqualTo(true)
        }
    )

    private val DONE = setOf(1000, 1001)

    private fun case(
        name: String,
        fault: Fault,
        run: suspend CoroutineScope.(
            SharedDeployment
        ) -> Unit
    ) = PromiseCase(Promise.RUNS_ONCE, setOf(fault), name, run)
}
