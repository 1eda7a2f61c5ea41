package org.hyssoprack.integration.schedule

/** Faults that are injected together, how long they hold and the pause after them. */
data class FaultStep(val kinds: List<FaultKind>, val holdMs: Long, val pauseMs: Long)
