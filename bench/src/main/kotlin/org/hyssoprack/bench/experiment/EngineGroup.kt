package org.hyssoprack.bench.experiment

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Generation
import org.hyssoprack.common.ModelId
import org.hyssoprack.standins.engine.EngineSettings

/** Emulated engines of one generation, named `generation-1`, `generation-2` and so on. */
@Serializable
data class EngineGroup(
    val count: Int,
    val generation: String,
    val model: String = "m",
    val slots: Int = 16,
    val prefillTokensPerS: Double = 8_000.0,
    val tokenMs: Double = 20.0,
    val batchSlowdown: Double = 0.02,
    val cacheTokens: Int = 100_000,
    val canSuspend: Boolean = false,
    val reportLagMs: Long = 1_000,
    val eventLagMs: Long = 500,
    val eventLoss: Double = 0.02
) {
    /** Returns the settings of every engine of the group, with port 0 as a placeholder. */
    fun settings(): List<EngineSettings> = (1..count).map { number ->
        EngineSettings(
            address = "127.0.0.1:0",
            id = BackendServerId("$generation-$number"),
            model = ModelId(model),
            generation = Generation(generation),
            slots = slots,
            prefillTokensPerS = prefillTokensPerS,
            tokenMs = tokenMs,
            batchSlowdown = batchSlowdown,
            cacheTokens = cacheTokens,
            seed = number.toLong(),
            canSuspend = canSuspend,
            reportLagMs = reportLagMs,
            eventLagMs = eventLagMs,
            eventLoss = eventLoss
        )
    }
}
