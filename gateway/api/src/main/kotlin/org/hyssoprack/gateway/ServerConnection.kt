package org.hyssoprack.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** A connection to a server that carries one exchange at a time. */
interface ServerConnection {
    /** Whether it has carried an exchange before. */
    val isReused: Boolean

    /** Writes a whole request. */
    fun send(method: HttpMethod, uri: String, headers: HttpHeaders, body: ByteArray)

    /** Waits for the next part of the answer. */
    suspend fun next(): ResponsePart

    /** Hands the connection back for [idleMs]; it is closed if it is not clean. */
    fun release(idleMs: Long)

    fun close()
}
