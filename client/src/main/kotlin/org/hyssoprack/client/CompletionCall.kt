package org.hyssoprack.client

import kotlinx.serialization.json.JsonObject
import org.hyssoprack.common.IdempotencyKey

/**
 * A completion to ask for.
 *
 * @property body the OpenAI-compatible body; `stream` is set by the client.
 * @property deadlineMs time in which the whole answer must come, retries included.
 * @property chat true for `/v1/chat/completions`, false for `/v1/completions`.
 * @property lane kind of work, for routes that tell them apart.
 * @property idempotencyKey needed on routes whose calls may not be repeated.
 */
data class CompletionCall(
    val body: JsonObject,
    val deadlineMs: Long,
    val chat: Boolean = false,
    val lane: String? = null,
    val idempotencyKey: IdempotencyKey? = null
)
