package org.hyssoprack.store.http

import org.hyssoprack.common.Failure

/** Result of one call to the platform. */
internal sealed interface StoreReply {
    /** A complete HTTP response. */
    data class Answered(val status: Int, val body: ByteArray, val retryAfterMs: Long?) :
        StoreReply

    /** No byte of the request was sent. */
    data class NotSent(val failure: Failure) : StoreReply

    /** The request may have arrived; no complete response was received. */
    data class NoAnswer(val failure: Failure) : StoreReply
}
