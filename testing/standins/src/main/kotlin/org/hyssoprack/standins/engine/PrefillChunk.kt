package org.hyssoprack.standins.engine

/** Part of a prompt that one step processes. */
internal class PrefillChunk(val run: EngineRun, val tokens: Int)
