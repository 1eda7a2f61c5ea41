package org.hyssoprack.host

import org.hyssoprack.common.Failure
import org.hyssoprack.scheduling.FinishReport

/**
 * How a request ended on this host.
 *
 * @property failure null if the response was delivered completely.
 * @property inTime whether it ended before its deadline.
 * @property dispatched whether anything was sent to a backend server.
 */
data class RequestEnd(
    val failure: Failure?,
    val inTime: Boolean,
    val dispatched: Boolean,
    val report: FinishReport? = null
)
