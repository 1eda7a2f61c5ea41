package org.hyssoprack.bench.analysis

/** A time in which a request held a slot of a backend server; wall-clock milliseconds. */
internal class SlotHold(
    val request: String,
    val rank: Int,
    val server: String,
    val fromMs: Long,
    val toMs: Long
)
