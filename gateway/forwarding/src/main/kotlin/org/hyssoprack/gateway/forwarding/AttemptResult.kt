package org.hyssoprack.gateway.forwarding

import io.netty.handler.codec.http.HttpHeaders

/** Result of sending a request to one backend server. */
internal sealed interface AttemptResult {
    /** The complete response was relayed to the caller. */
    data class Delivered(val status: Int) : AttemptResult

    /**
     * The server did not run the request.
     *
     * @property arrived whether the request reached the server.
     * @property isOtherServer whether a different server responded at the address.
     */
    data class NotRun(
        val reason: String,
        val arrived: Boolean,
        val isOtherServer: Boolean = false
    ) : AttemptResult

    /** The server ran the request and returned a complete response. */
    class Answered(val status: Int, val headers: HttpHeaders, val body: ByteArray) : AttemptResult

    /**
     * The request may have run, and its response is incomplete.
     *
     * @property isConnectionLost whether the server ended its connection.
     */
    data class Broken(val reason: String, val isConnectionLost: Boolean = false) : AttemptResult

    /**
     * The server made no progress for so long that the request goes to another one, which has
     * granted the [replacement]; the retry has been taken from the budget.
     *
     * @property brokenReason why the response ended meanwhile; null if it did not.
     */
    class Stalled(val replacement: GrantedRequest, val brokenReason: String? = null) : AttemptResult
}
