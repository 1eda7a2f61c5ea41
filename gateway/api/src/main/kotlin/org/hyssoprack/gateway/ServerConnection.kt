package org.hyssoprack.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** A connection to a server that carries one exchange at a time. */
interface ServerConnection {
    /** Whether it has carried an exchange before. */
    val isReused: Boolean

    /** Writes a complete request. */
    fun send(method: HttpMethod, uri: String, headers: HttpHeaders, body: ByteArray)

    /** Waits for the next part of the response. */
    suspend fun next(): ResponsePart

    /**
     * Returns the connection to the pool for [idleMs] milliseconds, or closes it if it cannot be
     * reused.
     */
    fun release(idleMs: Long)

    fun close()
}
