package org.hyssoprack.explain

/**
 * Why a request ended as it did.
 *
 * @property evidence log lines and counts that support the cause, in the order of the analysis.
 */
data class Explanation(val cause: Cause, val summary: String, val evidence: List<String>)
