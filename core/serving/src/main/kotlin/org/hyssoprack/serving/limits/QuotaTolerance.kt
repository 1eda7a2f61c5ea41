package org.hyssoprack.serving.limits

/**
 * Tolerance for enforcing quotas across all hosts.
 *
 * @property windowMs length of the quota window in milliseconds.
 * @property overage share of a quota that may be used in excess of it.
 * @property slackTokens tokens that may be used in excess of that.
 */
data class QuotaTolerance(
    val windowMs: Long,
    val overage: Double = 0.0,
    val slackTokens: Double = 0.0
)
