package org.hyssoprack.backend

import org.hyssoprack.common.RequestId

/**
 * One completion to run on an engine.
 *
 * @property path `/v1/completions` or `/v1/chat/completions`.
 * @property body the caller's JSON body, always sent on with `stream` set.
 * @property firstTokenTimeoutMs longest silence before the first token.
 * @property tokenTimeoutMs longest silence between two tokens.
 */
data class EngineCall(
    val requestId: RequestId,
    val path: String,
    val body: String,
    val firstTokenTimeoutMs: Long,
    val tokenTimeoutMs: Long
)
