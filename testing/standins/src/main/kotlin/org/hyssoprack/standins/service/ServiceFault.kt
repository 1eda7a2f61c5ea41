package org.hyssoprack.standins.service

/** Faults that a plain service applies to single calls. */
internal enum class ServiceFault { LOSE_REPLY, SWAP_ID, CUT, REFUSE }
