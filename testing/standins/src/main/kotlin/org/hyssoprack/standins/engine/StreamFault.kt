package org.hyssoprack.standins.engine

/** Fault applied to one streamed response. */
internal enum class StreamFault { NONE, FREEZE, CUT, SWAP_ID, MIX, SKIP, SHORT }
