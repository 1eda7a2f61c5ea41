package org.hyssoprack.scheduling

/** What an entry host does with a request at the moment. */
internal enum class RequestPhase { WAITING, RUNNING, SUSPENDED }
