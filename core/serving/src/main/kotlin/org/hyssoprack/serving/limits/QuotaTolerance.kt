package org.hyssoprack.serving.limits

/**
 * How exactly quotas are to be kept over all hosts.
 *
 * @property windowMs window over which quotas hold.
 * @property overage share of a quota that may be used beyond it.
 * @property slackTokens tokens that may be used beyond that.
 */
data class QuotaTolerance(
    val windowMs: Long,
    val overage: Double = 0.0,
    val slackTokens: Double = 0.0
)
