package org.hyssoprack.gateway.forwarding

import io.netty.handler.codec.http.HttpHeaders

/** How one send of a request to a backend server ended. */
internal sealed interface AttemptResult {
    /** The caller has the whole answer. */
    data class Delivered(val status: Int) : AttemptResult

    /**
     * The server did not run the request.
     *
     * @property arrived whether the server saw it.
     * @property isOtherServer whether another server was found at the address.
     */
    data class NotRun(
        val reason: String,
        val arrived: Boolean,
        val isOtherServer: Boolean = false
    ) : AttemptResult

    /** The server ran the request and gave a whole answer. */
    class Answered(val status: Int, val headers: HttpHeaders, val body: ByteArray) : AttemptResult

    /** The request may have run, and its answer is not whole. */
    data class Broken(val reason: String) : AttemptResult

    /** The server was silent for so long that the request moves on, with a repeat taken for it. */
    data object Stalled : AttemptResult
}
