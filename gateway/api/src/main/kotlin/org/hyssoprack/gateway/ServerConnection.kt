package org.hyssoprack.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * A connection to a server that carries one exchange at a time. It is opened for requests whose id
 * it has not carried: a late copy of the first response would be taken for the second, since both
 * have the id.
 */
interface ServerConnection {
    /** Number of the connection among those that this host has opened to servers, from 1. */
    val number: Long

    /** Number of exchanges that it has carried, including one in progress. */
    val exchangeCount: Int

    /**
     * Writes a complete request.
     *
     * @param requestId the request's id; null if its response will bear none.
     */
    fun send(
        method: HttpMethod,
        uri: String,
        headers: HttpHeaders,
        body: ByteArray,
        requestId: String?
    )

    /** Waits for the next part of the response. */
    suspend fun next(): ResponsePart

    /**
     * Returns the connection to the pool for [idleMs] milliseconds, or closes it if it cannot be
     * reused.
     */
    fun release(idleMs: Long)

    fun close()
}
