package org.hyssoprack.standins.engine

/** One step of the running batch. */
internal class BatchStep(
    val decodes: List<EngineRun>,
    val prefills: List<PrefillChunk>,
    val durationMs: Double
) {
    val isEmpty: Boolean get() = decodes.isEmpty() && prefills.isEmpty()
}
