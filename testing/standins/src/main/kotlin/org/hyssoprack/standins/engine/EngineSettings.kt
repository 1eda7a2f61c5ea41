package org.hyssoprack.standins.engine

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Generation
import org.hyssoprack.common.ModelId

/**
 * Settings of an emulated engine.
 *
 * @property address listen address, as `ip:port`.
 * @property slots maximum number of requests in the running batch.
 * @property prefillTokensPerS prompt tokens processed per second.
 * @property tokenMs duration of a decode step with one request in the batch, in milliseconds.
 * @property batchSlowdown relative increase of the decode time per further request in the batch.
 * @property prefillChunk maximum number of prompt tokens processed in one step.
 * @property cacheTokens size of the prefix cache in tokens.
 * @property canSuspend whether streams can be suspended and resumed.
 * @property checksFencing whether orders with an outdated fencing number are refused.
 * @property reportLagMs age of load reports, in milliseconds.
 * @property eventLagMs delay from a cache change to the publication of its event, in milliseconds.
 * @property eventLoss share of cache events that are lost, from 0 to 1.
 * @property graceMs time after which a request without a connection is cancelled, in milliseconds.
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
