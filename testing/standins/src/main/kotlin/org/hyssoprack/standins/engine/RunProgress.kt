package org.hyssoprack.standins.engine

/** What the streams of a request see of it. [endReason] is set once it has ended. */
internal data class RunProgress(
    val state: RunState,
    val produced: Int,
    val endReason: EndReason? = null
)
