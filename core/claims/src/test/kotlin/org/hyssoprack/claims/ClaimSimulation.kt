package org.hyssoprack.claims

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ResultCode

/**
 * One random run: several hosts attempt the same call, some more than once, with a table service
 * that fails, and with their steps interleaved at random.
 */
internal class ClaimSimulation(
    seed: Long,
    private val hosts: Int = 3,
    private val attempts: Int = 6
) {
    private val random = Random(seed)
    private val interleaver = Interleaver(random)
    private val scope = CoroutineScope(Dispatchers.Unconfined + SupervisorJob())
    private var attemptCount = 0
    val table = FakeTable(random = random, interleaver = interleaver, scope = scope)
    val key = ClaimKey(ClientAccount("a"), IdempotencyKey("k"))

    /** Attempts that sent the call to the backend server. */
    val dispatched = ArrayList<String>()

    /** Results of the attempts that were not cancelled, in the order of their completion. */
    val results = ArrayList<ClaimResult>()

    private val services = List(hosts) {
        DefaultClaimService(
            table = table,
            scope = scope,
            settings = ClaimSettings(repairDelayMs = 0),
            newAttemptId = { "attempt-${++attemptCount}" }
        )
    }

    fun execute() {
        table.faultShare = random.nextDouble(MAX_FAULT_SHARE)
        val jobs = List(attempts) { launchAttempt(services[it % hosts]) }
        repeat(STEPS) {
            interleaver.step()
            if (random.nextInt(CANCEL_EVERY) == 0) jobs.random(random).cancel()
        }
        table.faultShare = 0.0
        drain()
        check(jobs.all { it.isCompleted }) {
            "${jobs.count { !it.isCompleted }} of ${jobs.size} attempts did not end"
        }
    }

    /** Makes a further attempt after the faults have ended. */
    fun attemptAfterFaults(): ClaimResult {
        launchAttempt(services.first())
        drain()
        return results.last()
    }

    fun pendingRepairs(): Int = services.sumOf { it.pendingRepairs }

    fun close() = scope.cancel()

    private fun drain() {
        var steps = 0
        while (interleaver.step()) {
            check(++steps < MAX_STEPS) { "tasks still paused after $MAX_STEPS steps" }
        }
    }

    private fun launchAttempt(service: ClaimService): Job = scope.launch {
        val result = service.claim(key, bodyHash = "hash", holder = holder)
        results.add(result)
        if (result is ClaimResult.Granted) run(service, result.claim)
    }

    private suspend fun run(service: ClaimService, claim: Claim) {
        if (random.nextInt(RELEASE_EVERY) == 0) return service.release(claim)
        dispatched.add(claim.attemptId)
        service.record(claim, RecordedOutcome(code = ResultCode.OK.number, status = 200))
    }

    private companion object {
        const val MAX_FAULT_SHARE = 0.9
        const val STEPS = 120
        const val MAX_STEPS = 100_000
        const val CANCEL_EVERY = 60
        const val RELEASE_EVERY = 4
        val holder = HostRef(HostId("h"), Incarnation(1))
    }
}
