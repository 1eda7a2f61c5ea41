package org.hyssoprack.scheduling

/** State of a request in progress on its entry host. */
internal enum class RequestPhase { WAITING, RUNNING, SUSPENDED }
