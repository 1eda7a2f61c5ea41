package org.hyssoprack.integration.schedule

/** A fault that is in force; [undo] takes it back. */
class ActiveFault(val kind: FaultKind, val subject: String, val undo: () -> Unit = {})
