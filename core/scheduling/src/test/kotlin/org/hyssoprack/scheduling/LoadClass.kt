package org.hyssoprack.scheduling

/** Requests with the same properties that arrive at random, [perSecond] on average. */
data class LoadClass(
    val tier: Int,
    val perSecond: Double,
    val runsMs: Long,
    val prefillMs: Long,
    val promptTokens: Int,
    val completionTokens: Int,
    val deadlineMs: Long
)
