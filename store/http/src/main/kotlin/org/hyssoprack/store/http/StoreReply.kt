package org.hyssoprack.store.http

import org.hyssoprack.common.Failure

/** What came back from one call to the platform. */
internal sealed interface StoreReply {
    /** A whole HTTP answer. */
    data class Answered(val status: Int, val body: ByteArray, val retryAfterMs: Long?) :
        StoreReply

    /** No byte of the request was sent. */
    data class NotSent(val failure: Failure) : StoreReply

    /** The request may have arrived; no whole answer came back. */
    data class NoAnswer(val failure: Failure) : StoreReply
}
