package org.hyssoprack.integration.schedule

import java.nio.file.Path
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.SystemClock
import org.hyssoprack.common.eq
import org.hyssoprack.integration.audit.Audit
import org.hyssoprack.integration.audit.History
import org.hyssoprack.integration.audit.RunLogReader
import org.hyssoprack.integration.caller.Caller
import org.hyssoprack.integration.deployment.DeploymentSettings
import org.hyssoprack.integration.deployment.DeploymentUnderTest

/** Runs traffic under a random fault schedule; the same settings give the same schedule. */
class RandomRun(
    private val settings: RandomRunSettings,
    private val directory: Path,
    private val log: EventLog = NoOpEventLog,
    private val clock: Clock = SystemClock
) {
    private val schedule = FaultSchedule(settings.seed)

    /** Starts a deployment, runs traffic and faults, and audits the recorded history. */
    suspend fun run(): RandomRunReport {
        val deployment = DeploymentUnderTest(directory, deploymentSettings())
        return deployment.use {
            withContext(Dispatchers.IO) { it.start() }
            Caller(callTimeoutMs = CALL_TIMEOUT_MS).use { caller -> run(it, caller) }
        }
    }

    private fun deploymentSettings() = DeploymentSettings(
        engines = ENGINES,
        engineSlots = ENGINE_SLOTS,
        proxySeed = settings.seed
    )

    private suspend fun run(deployment: DeploymentUnderTest, caller: Caller): RandomRunReport {
        val traffic = Traffic(
            deployment = deployment,
            caller = caller,
            random = Random(settings.seed),
            callsPerSecond = settings.callsPerSecond
        )
        val faults = withContext(Dispatchers.Default) {
            coroutineScope { inject(this, deployment, traffic) }
        }
        val history = History(
            calls = caller.records,
            runs = RunLogReader.read(deployment.backends.logs),
            journal = deployment.journal.entries
        )
        return RandomRunReport(
            faults = faults,
            history = history,
            violations = Audit(history).violations()
        )
    }

    private suspend fun inject(
        scope: CoroutineScope,
        deployment: DeploymentUnderTest,
        traffic: Traffic
    ): List<FaultKind> {
        val calls = traffic.start(scope)
        val injector = FaultInjector(deployment, Random(settings.seed))
        val injected = ArrayList<FaultKind>()
        while (injected.size < settings.faults || traffic.count < settings.requests) {
            val step = schedule.next()
            val active = step.kinds.map { withContext(Dispatchers.IO) { injector.inject(it) } }
            injected += step.kinds
            if (FaultKind.BURST in step.kinds) traffic.burstFactor = BURST_FACTOR
            delay(step.holdMs)
            traffic.burstFactor = 1
            val undoStartMs = clock.nowMs()
            withContext(Dispatchers.IO) { injector.undo(active) }
            log.event(
                "faults-undone",
                "count" eq injected.size,
                "kinds" eq step.kinds.joinToString("+"),
                "subjects" eq active.joinToString("+") { it.subject },
                "hold_ms" eq step.holdMs,
                "undo_ms" eq clock.nowMs() - undoStartMs,
                "calls" eq traffic.count
            )
            delay(step.pauseMs)
        }
        withContext(Dispatchers.IO) { deployment.clearFaults() }
        calls.cancelAndJoin()
        return injected
    }

    private companion object {
        const val CALL_TIMEOUT_MS = 25_000L
        const val BURST_FACTOR = 6
        const val ENGINES = 3
        const val ENGINE_SLOTS = 12
    }
}
