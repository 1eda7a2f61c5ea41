package org.hyssoprack.gateway

import org.hyssoprack.common.PromptPartId
import org.hyssoprack.serving.placement.WorkEstimate

/**
 * Metadata from the headers of a caller's request.
 *
 * @property id identifies one attempt of a caller.
 * @property deadlineMs time for which the caller waits, in milliseconds from the arrival of the
 *   request.
 * @property work null if the request does not state its token counts.
 * @property quotaTokens tokens that are charged to a quota; null if the request does not state
 *   them.
 * @property sharedParts parts of the prompt that other requests may share, in order; never the
 *   request's own last part.
 */
data class RequestMetadata(
    val id: String,
    val host: String,
    val key: String? = null,
    val deadlineMs: Long? = null,
    val work: WorkEstimate? = null,
    val quotaTokens: Int? = null,
    val sharedParts: List<PromptPartId> = emptyList()
)
