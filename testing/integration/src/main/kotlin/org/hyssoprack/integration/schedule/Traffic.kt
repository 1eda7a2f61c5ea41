package org.hyssoprack.integration.schedule

import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallOutcome
import org.hyssoprack.integration.caller.CallRecord
import org.hyssoprack.integration.caller.CallSpec
import org.hyssoprack.integration.caller.Caller
import org.hyssoprack.integration.deployment.DeploymentUnderTest
import org.hyssoprack.integration.deployment.HostUnderTest

/**
 * Starts calls of all kinds at a constant rate and retries them as callers do: bookings with the
 * same idempotency key and either the same or a new request id, all others with the same id.
 */
class Traffic(
    private val deployment: DeploymentUnderTest,
    private val caller: Caller,
    private val random: Random,
    private val callsPerSecond: Int
) {
    private val startedCalls = AtomicInteger()

    /** Factor by which the call rate is multiplied. */
    @Volatile
    var burstFactor = 1

    /** Number of calls started so far, not counting retries. */
    val count: Int get() = startedCalls.get()

    /** Starts calls until the returned job is cancelled; calls in progress continue in [scope]. */
    fun start(scope: CoroutineScope): Job = scope.launch {
        while (true) {
            repeat(burstFactor) { startCall(scope) }
            delay(MS_PER_SECOND / callsPerSecond)
        }
    }

    private fun startCall(scope: CoroutineScope) {
        val spec = nextSpec()
        val hosts = List(ATTEMPTS) { deployment.usableHosts.random(random) }
        val sameId = random.nextBoolean()
        scope.launch { run(spec, hosts, sameId) }
    }

    private suspend fun run(spec: CallSpec, hosts: List<HostUnderTest>, sameId: Boolean) {
        var last = caller.call(hosts.first(), spec)
        for (host in hosts.drop(1)) {
            if (!needsRetry(last)) return
            delay(RETRY_DELAY_MS)
            val isBooking = spec.kind == CallKind.BOOKING
            last = if (sameId || !isBooking) caller.retry(host, last) else caller.call(host, spec)
        }
    }

    private fun needsRetry(record: CallRecord): Boolean = record.result.outcome != CallOutcome.DONE

    private fun nextSpec(): CallSpec {
        val number = startedCalls.incrementAndGet()
        val kind = KINDS[number % KINDS.size]
        val tokens = if (kind == CallKind.LETTER) LETTER_TOKENS else QUESTION_TOKENS
        return CallSpec(
            kind = kind,
            content = "${kind.name.lowercase()}-$number",
            tokens = tokens,
            stream = number % STREAM_EVERY != 0
        )
    }

    private companion object {
        const val MS_PER_SECOND = 1_000L
        const val RETRY_DELAY_MS = 300L
        const val ATTEMPTS = 3
        const val LETTER_TOKENS = 40
        const val QUESTION_TOKENS = 5
        const val STREAM_EVERY = 5
        val KINDS = listOf(
            CallKind.QUESTION,
            CallKind.BOOKING,
            CallKind.LETTER,
            CallKind.QUESTION,
            CallKind.LOOKUP
        )
    }
}
