package org.hyssoprack.bench.load

/** An address that requests are sent to; [requestIdHead] begins the ids of requests sent there. */
data class CallerTarget(val address: String, val requestIdHead: String)
