package org.hyssoprack.standins.table

/** Fault applied to one write. */
internal enum class WriteFault { NONE, REPLY_LOST, LATE }
