package org.hyssoprack.standins.engine

/** Progress of a request as read by its streams. [endReason] is set once it has ended. */
internal data class RunProgress(
    val state: RunState,
    val produced: Int,
    val endReason: EndReason? = null
)
