package org.hyssoprack.integration.audit

/** A case in which a promise did not hold. */
data class Violation(val promise: Promise, val detail: String)
