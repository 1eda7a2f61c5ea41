package org.hyssoprack.standins.engine

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Generation
import org.hyssoprack.common.ModelId

/**
 * How an emulated engine behaves.
 *
 * @property address where it listens, as `ip:port`.
 * @property slots most requests in its running batch.
 * @property prefillTokensPerS rate of prompt processing.
 * @property tokenMs time of one decode step with a batch of one, in milliseconds.
 * @property batchSlowdown relative growth of a decode step with each further request in the batch.
 * @property prefillChunk most prompt tokens processed in one step.
 * @property cacheTokens size of the prefix cache in tokens.
 * @property canSuspend whether streams can be suspended and resumed.
 * @property checksFencing whether orders with an old fencing number are refused.
 * @property reportLagMs age of load reports, in milliseconds.
 * @property eventLagMs time from a change of the cache to its event, in milliseconds.
 * @property eventLoss share of cache events that are lost, from 0 to 1.
 * @property graceMs how long a request goes on after its connection was lost, in milliseconds.
 */
@Serializable
data class EngineSettings(
    val address: String,
    val id: BackendServerId,
    val model: ModelId,
    val generation: Generation = Generation("default"),
    val slots: Int = 16,
    val prefillTokensPerS: Double = 8_000.0,
    val tokenMs: Double = 20.0,
    val batchSlowdown: Double = 0.02,
    val prefillChunk: Int = 512,
    val cacheTokens: Int = 100_000,
    val seed: Long = 1,
    val canSuspend: Boolean = false,
    val checksFencing: Boolean = false,
    val reportLagMs: Long = 1_000,
    val eventLagMs: Long = 500,
    val eventLoss: Double = 0.02,
    val graceMs: Long = 2_000
)
