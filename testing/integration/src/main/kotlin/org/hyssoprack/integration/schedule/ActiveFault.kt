package org.hyssoprack.integration.schedule

/** An injected fault and the action that undoes it. */
class ActiveFault(val kind: FaultKind, val subject: String, val undo: () -> Unit = {})
