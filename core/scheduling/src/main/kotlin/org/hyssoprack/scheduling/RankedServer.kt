package org.hyssoprack.scheduling

/**
 * A candidate server for a request.
 *
 * @property costMs expected time to a complete answer in milliseconds, or the order in which the
 *   routing rule prefers the server; the lowest is the best.
 */
internal data class RankedServer(val server: FleetServer, val costMs: Double)
