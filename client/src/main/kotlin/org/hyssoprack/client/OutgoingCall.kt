package org.hyssoprack.client

import org.hyssoprack.common.IdempotencyKey

/** What every attempt of one call has in common. */
internal class OutgoingCall(
    val path: String,
    val method: String,
    val body: ByteArray,
    val contentType: String,
    val deadlineMs: Long,
    val lane: String? = null,
    val idempotencyKey: IdempotencyKey? = null
)
