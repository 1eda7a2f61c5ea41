package org.hyssoprack.bench.load

/** An address to send requests to; [requestIdPrefix] is the prefix of their request ids. */
data class CallerTarget(val address: String, val requestIdPrefix: String)
