package org.hyssoprack.client

import org.hyssoprack.common.IdempotencyKey

/** The parts of a call that are the same in all its attempts. */
internal class OutgoingCall(
    val path: String,
    val method: String,
    val body: ByteArray,
    val contentType: String,
    val deadlineMs: Long,
    val lane: String? = null,
    val idempotencyKey: IdempotencyKey? = null
)
