package org.hyssoprack.standins.engine

/** Number of prompt tokens of one request that a step processes. */
internal class PrefillChunk(val run: EngineRun, val tokens: Int)
