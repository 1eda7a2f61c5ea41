package org.hyssoprack.scheduling

/** A candidate for a request, with the time in which it is expected to answer, in milliseconds. */
internal data class RankedServer(val server: FleetServer, val costMs: Double)
