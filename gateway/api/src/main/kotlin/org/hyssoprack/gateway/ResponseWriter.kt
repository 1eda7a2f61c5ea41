package org.hyssoprack.gateway

import io.netty.handler.codec.http.HttpHeaders

/** Writes the response to one request, either at once or in parts. */
interface ResponseWriter {
    /** Whether a first byte has been written. */
    val isStarted: Boolean

    /**
     * Waits until the host may hold [bytes] of a response that is collected whole, in all. They are
     * given back once the response has been written.
     */
    suspend fun hold(bytes: Int) = Unit

    /** Writes a complete response. */
    suspend fun answer(status: Int, headers: HttpHeaders, body: ByteArray)

    /** Begins a response of unknown length. */
    suspend fun start(status: Int, headers: HttpHeaders)

    /** Writes [bytes] immediately; suspends while the caller does not read. */
    suspend fun send(bytes: ByteArray)

    /** Ends the response as complete. */
    suspend fun end()

    /** Closes the caller's connection, so that the caller detects an incomplete response. */
    fun abort()
}
