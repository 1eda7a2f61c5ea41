package org.hyssoprack.integration.audit

/** A broken promise and the evidence for it. */
data class Violation(val promise: Promise, val detail: String)
