package org.hyssoprack.integration.schedule

/** Faults injected together, how long they stay active, and the pause after undoing them. */
data class FaultStep(val kinds: List<FaultKind>, val holdMs: Long, val pauseMs: Long)
