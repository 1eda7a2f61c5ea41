package org.hyssoprack.serving.placement

/** What a backend server says that it has in progress, from all hosts together. */
data class ReportedLoad(val running: Int, val waiting: Int)
