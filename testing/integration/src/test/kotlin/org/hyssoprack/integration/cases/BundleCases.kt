package org.hyssoprack.integration.cases

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThan
import assertk.assertions.isGreaterThanOrEqualTo
import assertk.assertions.isIn
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.hyssoprack.faultproxy.DirectionFaults
import org.hyssoprack.faultproxy.ListenerFaults
import org.hyssoprack.integration.SharedDeployment
import org.hyssoprack.integration.audit.Promise
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallOutcome
import org.hyssoprack.integration.deployment.TestPolicy
import org.hyssoprack.integration.schedule.ConcurrentOperators
import org.hyssoprack.standins.objects.ObjectFaults
import org.hyssoprack.standins.platform.Outage
import org.hyssoprack.standins.table.TableFaults

/** Cases of [Promise.BUNDLES]: an accepted bundle is soon in force and is never reverted. */
internal object BundleCases {
    val all: List<PromiseCase> = listOf(
        case("in force on every host within 4 s", Fault.NONE) { shared ->
            val version = accept(shared)
            assertInForce(shared, version)
        },
        case("with the store slow", Fault.STORE_DOWN) { shared ->
            shared.deployment.platform.setTableFaults(TableFaults(delayMs = 300))
            val version = accept(shared)
            assertInForce(shared, version)
        },
        case("with replies of the store lost", Fault.REPLY_LOST) { shared ->
            shared.deployment.platform.setTableFaults(TableFaults(loseReplyShare = 0.5, seed = 3))
            val version = accept(shared)
            assertInForce(shared, version)
        },
        case("of two operators at once one gets a conflict", Fault.OPERATORS) { shared ->
            val answers = ConcurrentOperators(shared.deployment).acceptConcurrently()
            assertThat(answers.map { it.isSuccess }.sorted()).isEqualTo(listOf(false, true))
        },
        case(
            "a host that slept serves nothing under the older bundle",
            Fault.HOLDER_PAUSED
        ) { shared ->
            val pausedHost = shared.deployment.hosts.last()
            shared.deployment.pause(pausedHost)
            val version = accept(shared)
            delay(IN_FORCE_LIMIT_MS)
            shared.deployment.resume(pausedHost)
            val result = shared.caller.call(pausedHost, shared.spec(CallKind.QUESTION)).result
            if (result.outcome == CallOutcome.DONE) {
                assertThat(result.bundle).isGreaterThanOrEqualTo(version)
            }
        },
        case("a host cut off from store and peers takes nothing new", Fault.SILENCE) { shared ->
            val host = shared.deployment.hosts.last()
            val isolated =
                listOf("table-${host.name}") + shared.deployment.hosts.map { "link-${it.name}" }
            isolated.forEach { shared.deployment.proxy.set(it, BOTH_SILENT) }
            val version = accept(shared)
            delay(IN_FORCE_LIMIT_MS)
            val result = shared.caller.call(host, shared.spec(CallKind.QUESTION)).result
            if (result.bundle < version) assertThat(result.code).isIn(2005, 2010)
        },
        case(
            "a host started while the store is down gets it from a peer",
            Fault.STORE_DOWN
        ) { shared ->
            val host = shared.deployment.hosts.last()
            val version = accept(shared)
            assertInForce(shared, version)
            shared.deployment.kill(host)
            shared.deployment.platform.setTableFaults(TableFaults(outage = Outage.UNAVAILABLE))
            shared.deployment.platform.setObjectFaults(ObjectFaults(outage = Outage.UNAVAILABLE))
            shared.deployment.restart(host)
            assertThat(shared.deployment.operators.activeVersion(host)).isEqualTo(version)
        },
        case("accepted through a host that dies right after", Fault.PROCESS_DIES) { shared ->
            val host = shared.deployment.hosts.last()
            val version = accept(shared, host = shared.deployment.hosts.lastIndex)
            shared.deployment.kill(host)
            delay(IN_FORCE_LIMIT_MS)
            val rest = shared.deployment.hosts.dropLast(1)
            rest.forEach {
                assertThat(shared.deployment.operators.activeVersion(it)).isEqualTo(version)
            }
        }
    )

    /** Accepts a changed bundle, retrying until that succeeds, and returns its version. */
    private suspend fun accept(shared: SharedDeployment, host: Int = 0): Long {
        val through = shared.deployment.hosts[host]
        val operators = shared.deployment.operators
        val base = operators.activeVersion(through)
        val policy = "${TestPolicy.TEXT}\n# change ${System.nanoTime()}\n"
        repeat(TRIES) {
            val hash = runCatching { operators.proposeAndSignOff(through, policy) }.getOrNull()
            val isAccepted = hash != null && operators.accept(through, hash, base).isSuccess
            if (isAccepted) {
                return shared.acceptedVersion().also {
                    assertThat(it).isGreaterThan(base)
                }
            }
            delay(RETRY_MS)
        }
        error("the bundle was not accepted in $TRIES attempts")
    }

    private suspend fun assertInForce(shared: SharedDeployment, version: Long) {
        delay(IN_FORCE_LIMIT_MS)
        shared.deployment.hosts.forEach {
            val result = shared.caller.call(it, shared.spec(CallKind.QUESTION)).result
            assertThat(result.bundle).isEqualTo(version)
        }
    }

    private const val TRIES = 12
    private const val RETRY_MS = 500L
    private const val IN_FORCE_LIMIT_MS = 4_000L
    private val SILENT = DirectionFaults(silent = true)
    private val BOTH_SILENT = ListenerFaults(up = SILENT, down = SILENT)

    private fun case(
        name: String,
        fault: Fault,
        run: suspend CoroutineScope.(SharedDeployment) -> Unit
    ) = PromiseCase(Promise.BUNDLES, setOf(fault), name, run)
}
