package org.hyssoprack.gateway

import org.hyssoprack.serving.placement.WorkEstimate

/**
 * What the headers of a request say.
 *
 * @property id names one attempt of a caller.
 * @property deadlineMs how long the caller waits, in milliseconds from its arrival.
 * @property work null if the request does not tell its size.
 * @property quotaTokens tokens that it counts in a quota; null if it does not say.
 */
data class RequestMetadata(
    val id: String,
    val host: String,
    val key: String? = null,
    val deadlineMs: Long? = null,
    val work: WorkEstimate? = null,
    val quotaTokens: Int? = null
)
