package org.hyssoprack.serving.placement

/**
 * Load as reported by a backend server.
 *
 * @property running number of running requests from all hosts together.
 * @property waiting number of requests from all hosts together that wait within the server.
 * @property pacePercent time that work currently takes on the server in percent of the usual time;
 *   null if the server does not report it. Within [PACE_PERCENTS].
 */
data class ReportedLoad(val running: Int, val waiting: Int, val pacePercent: Int? = null) {
    companion object {
        /** Range that a reported pace is limited to; figures beyond it are taken for a fault. */
        val PACE_PERCENTS = 10..2_000
    }
}
