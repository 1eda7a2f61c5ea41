package org.hyssoprack.standins.table

/** What the faults do to one write. */
internal enum class WriteFate { NORMAL, REPLY_LOST, LATE }
