package org.hyssoprack.bench.analysis

/** A period in which a request held a slot of a backend server; times are epoch milliseconds. */
internal class SlotHold(
    val request: String,
    val rank: Int,
    val server: String,
    val fromMs: Long,
    val toMs: Long
)
