package org.hyssoprack.rollout

import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId

/**
 * Plays one roll-out with drawn requests to two versions in virtual time.
 *
 * @param badShare share of bad responses of the new version, by time in milliseconds and route.
 * @param load factor on all times, by time in milliseconds.
 * @param failing share of responses of both versions that fail, by time in milliseconds.
 */
internal class SimulatedRollout(
    seed: Long,
    private val fault: Fault,
    private val perS: Int = 100,
    private val load: (Long) -> Double = { 1.0 },
    private val failing: (Long) -> Double = { 0.01 },
    private val badShare: (Long, Int) -> Double
) {
    enum class Fault { FAILURE, SLOW }

    private class Pending(val dueMs: Long, val response: VersionResponse)

    private val random = Random(seed)
    private val clock = ManualClock(1_000)
    private val bounds = RolloutBounds(exposeShare = 0.1, exposeSlack = 50.0)
    private val order = RolloutOrder(ServiceId("s"), "v2", DURATION_MS)
    private val record = RolloutRecord("v2", 1, 0, 1_000, "h")
    private val pending = ArrayList<Pending>()
    val rollout = Rollout(order, bounds, startedMs = 1_000, clock, record)

    /** Time of the decision since the order; null before it. */
    var decidedMs: Long? = null
        private set

    /** Whether the new version got more requests than the bounds permit at some time. */
    var isOverExposed = false
        private set

    /** Bad responses of the new version. */
    var bad = 0
        private set

    fun run(): RolloutState {
        for (ms in 0 until DURATION_MS step STEP_MS) {
            respond(ms)
            repeat(if (random.nextInt(MS_PER_S) < perS * STEP_MS) 1 else 0) { request(ms) }
            rollout.exposure.dueReservation()?.let { rollout.exposure.recordReserved(it) }
            rollout.adopt(rollout.decide(hasNewServer = true))
            if (rollout.state.isFinal) {
                decidedMs = ms
                return rollout.state
            }
            clock.advance(STEP_MS)
        }
        return rollout.state
    }

    private fun request(ms: Long) {
        val isNew = rollout.mayExpose && random.nextBoolean()
        rollout.recordGrant(isNew)
        val exposure = rollout.exposure
        val most = bounds.exposeShare * exposure.total + bounds.exposeSlack
        if (!rollout.isAccepted && exposure.exposed > most) isOverExposed = true
        val route = random.nextInt(ROUTES)
        val isBad = isNew && random.nextDouble() < badShare(ms, route)
        if (isBad && !rollout.isAccepted) bad++
        val isFailed = random.nextDouble() < failing(ms) || isBad && fault == Fault.FAILURE
        val slowness = if (isBad && fault == Fault.SLOW) SLOWNESS else 1.0
        val spread = exp(random.asJavaRandom().nextGaussian() * SPREAD)
        val time = TIME_MS * load(ms) * slowness * spread
        val times = mapOf(
            if (route ==
                0
            ) {
                Measure.CALL to time
            } else {
                Measure.FIRST_EVENT to time / 20
            }
        )
        val response = VersionResponse(RouteName("r$route"), isNew, isFailed, times = times)
        pending += Pending(ms + time.toLong(), response)
    }

    private fun respond(ms: Long) {
        val due = pending.filter { it.dueMs <= ms }
        pending -= due.toSet()
        due.forEach {
            rollout.recordRelease(it.response.isNew)
            rollout.recordResponse(it.response)
        }
    }

    companion object {
        const val DURATION_MS = 12_000L
        private const val STEP_MS = 5L
        private const val MS_PER_S = 1_000
        private const val ROUTES = 4
        private const val SLOWNESS = 3.5

        // Standard deviation of the logarithm of times, as different servers and prompts have it.
        private const val SPREAD = 0.35
        private const val TIME_MS = 100.0
    }
}
