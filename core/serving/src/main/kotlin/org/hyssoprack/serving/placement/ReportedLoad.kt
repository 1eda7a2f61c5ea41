package org.hyssoprack.serving.placement

/** Number of requests from all hosts together, as reported by a backend server. */
data class ReportedLoad(val running: Int, val waiting: Int)
