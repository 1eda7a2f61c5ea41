package org.hyssoprack.client

import kotlinx.serialization.json.JsonObject
import org.hyssoprack.common.IdempotencyKey

/**
 * A completion request.
 *
 * @property body the OpenAI-compatible body; the client sets `stream`.
 * @property deadlineMs time limit for the whole answer in milliseconds, retries included.
 * @property chat true for `/v1/chat/completions`, false for `/v1/completions`.
 * @property lane label of the kind of work, which routes can match.
 * @property idempotencyKey required on routes whose calls may not be repeated.
 */
data class CompletionCall(
    val body: JsonObject,
    val deadlineMs: Long,
    val chat: Boolean = false,
    val lane: String? = null,
    val idempotencyKey: IdempotencyKey? = null
)
