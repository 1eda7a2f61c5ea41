package org.hyssoprack.integration.schedule

import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.random.Random
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.hyssoprack.common.Clock
import org.hyssoprack.common.SystemClock
import org.hyssoprack.integration.audit.Audit
import org.hyssoprack.integration.audit.History
import org.hyssoprack.integration.audit.RunLogReader
import org.hyssoprack.integration.caller.CallOutcome
import org.hyssoprack.integration.caller.Caller
import org.hyssoprack.integration.deployment.ChildProcess
import org.hyssoprack.integration.deployment.DeploymentUnderTest
import org.hyssoprack.integration.deployment.HostUnderTest
import org.hyssoprack.integration.deployment.TestPolicy

/**
 * Runs traffic while the hosts are upgraded from an earlier build to this one and downgraded again.
 * Each build reads settings files and stored rows written by the other one, and exchanges link
 * messages, claims and bundles with it.
 *
 * @param earlier class path of the earlier build.
 */
class MixedBuildsRun(
    private val earlier: String,
    private val directory: Path,
    private val clock: Clock = SystemClock
) {
    private val current = ChildProcess.ownClassPath()
    private val problems = ArrayList<String>()

    /** Runs all phases and returns one line per problem found. */
    suspend fun run(): List<String> = DeploymentUnderTest(directory).use { deployment ->
        deployment.hosts.forEach { it.classPath = earlier }
        withContext(Dispatchers.IO) { deployment.start() }
        Caller(callTimeoutMs = CALL_TIMEOUT_MS).use { caller ->
            coroutineScope {
                val traffic = Traffic(deployment, caller, Random(SEED), CALLS_PER_S).start(this)
                withContext(Dispatchers.IO) { runPhases(deployment, caller) }
                traffic.cancelAndJoin()
            }
            audit(deployment, caller)
        }
        problems
    }

    private suspend fun runPhases(deployment: DeploymentUnderTest, caller: Caller) {
        val (first, second, third) = deployment.hosts
        phase("all hosts of the earlier build", deployment, caller) {}
        phase("first host changed to this build", deployment, caller) {
            switchBuild(deployment, first, current)
            acceptBundle(deployment, through = second, "earlier")
        }
        phase("second host changed to this build", deployment, caller) {
            switchBuild(deployment, second, current)
            acceptBundle(deployment, through = first, "current")
        }
        phase("all hosts of this build", deployment, caller) {
            switchBuild(deployment, third, current)
        }
        phase("first host killed, started with the earlier build", deployment, caller) {
            deployment.kill(first)
            first.classPath = earlier
            deployment.restart(first)
        }
        phase("second host changed back", deployment, caller) {
            switchBuild(deployment, second, earlier)
            acceptBundle(deployment, through = second, "back")
        }
    }

    private fun switchBuild(
        deployment: DeploymentUnderTest,
        host: HostUnderTest,
        classPath: String
    ) {
        deployment.stop(host)
        check(deployment.awaitEnd(host, STOP_TIMEOUT_MS)) {
            "${host.name} did not stop within $STOP_TIMEOUT_MS ms"
        }
        host.classPath = classPath
        deployment.restart(host)
    }

    private fun acceptBundle(deployment: DeploymentUnderTest, through: HostUnderTest, tag: String) {
        val base = deployment.operators.activeVersion(through)
        val policy = TestPolicy.TEXT.replace("queue 200", "queue ${QUEUE_LENGTHS.getValue(tag)}")
        val hash = deployment.operators.proposeAndSignOff(through, policy)
        val answer = deployment.operators.accept(through, hash, base)
        if (!answer.isSuccess) {
            problems += "${through.name} did not accept the bundle: ${answer.status} ${answer.body}"
        }
        deployment.await("a bundle newer than version $base is in force on all hosts") {
            deployment.hosts.all { deployment.operators.activeVersion(it) > base }
        }
    }

    /**
     * Applies [change] and keeps the deployment running for [HOLD_MS]; each host must complete at
     * least one call in that time.
     */
    private suspend fun phase(
        name: String,
        deployment: DeploymentUnderTest,
        caller: Caller,
        change: () -> Unit
    ) {
        change()
        val fromMs = clock.epochMs()
        delay(HOLD_MS)
        val calls = caller.records.filter { it.sentMs >= fromMs }
        println("$name:")
        deployment.hosts.forEach { host ->
            val own = calls.filter { it.host == host.name }
            val done = own.count { it.result.outcome == CallOutcome.DONE }
            val build = if (host.classPath == earlier) "earlier" else "current"
            println("  ${host.name} ($build build): $done of ${own.size} ended calls done")
            if (done == 0) problems += "$name: no call done through ${host.name}"
        }
    }

    private fun audit(deployment: DeploymentUnderTest, caller: Caller) {
        val history = History(
            calls = caller.records,
            runs = RunLogReader.read(deployment.backends.logs),
            journal = deployment.journal.entries
        )
        println("calls ${history.calls.size}, runs ${history.runs.size}")
        println("told: ${history.calls.groupingBy { it.result.outcome }.eachCount()}")
        problems += Audit(history).violations().map { "$it" }
        deployment.hosts.forEach { host ->
            val lines = directory.resolve("${host.name}.log").readLines()
            problems += lines.filter { line -> REFUSAL_EVENTS.any { "event=$it " in line } }
        }
    }

    private companion object {
        const val SEED = 1
        const val CALLS_PER_S = 40
        const val CALL_TIMEOUT_MS = 25_000L
        const val STOP_TIMEOUT_MS = 30_000L
        const val HOLD_MS = 6_000L

        /** Events logged when a host cannot read data from another host or the store. */
        val REFUSAL_EVENTS = listOf(
            "link-hello-refused",
            "link-frame-refused",
            "link-message-unsendable",
            "message-unknown",
            "bundle-body-corrupt",
            "bundle-undecided"
        )
        val QUEUE_LENGTHS = mapOf("earlier" to 210, "current" to 220, "back" to 230)
    }
}
