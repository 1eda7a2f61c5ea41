package org.hyssoprack.claims

/** A claim that this attempt holds; [revision] is the row's revision in the table service. */
data class Claim(val key: ClaimKey, val attemptId: String, val revision: Long)
