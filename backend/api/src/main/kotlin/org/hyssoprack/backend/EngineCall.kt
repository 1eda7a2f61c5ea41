package org.hyssoprack.backend

import org.hyssoprack.common.RequestId

/**
 * One completion to run on an engine.
 *
 * @property path `/v1/completions` or `/v1/chat/completions`.
 * @property body the caller's JSON body, always with `stream` set.
 * @property firstTokenTimeoutMs timeout for the first token.
 * @property tokenTimeoutMs timeout between two tokens.
 */
data class EngineCall(
    val requestId: RequestId,
    val path: String,
    val body: String,
    val firstTokenTimeoutMs: Long,
    val tokenTimeoutMs: Long
)
