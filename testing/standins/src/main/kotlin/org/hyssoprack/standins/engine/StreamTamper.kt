package org.hyssoprack.standins.engine

/** How one answer is spoilt. */
internal enum class StreamTamper { NONE, FREEZE, CUT, SWAP_ID, MIX, SKIP, SHORT }
