package org.hyssoprack.standins.service

/** Faults of a plain service that spoil single calls. */
internal enum class ServiceFault { LOSE_REPLY, SWAP_ID, CUT, REFUSE }
