package org.hyssoprack.rollout

/**
 * Bounds on the requests that a new version gets before it has been accepted.
 *
 * @property exposeShare share of the requests of the service.
 * @property exposeSlack requests permitted beyond that share.
 * @property rollbackMs time after its 50th bad response within which a version must get no more
 *   requests.
 */
data class RolloutBounds(
    val exposeShare: Double,
    val exposeSlack: Double = 0.0,
    val rollbackMs: Long = 5_000
)
