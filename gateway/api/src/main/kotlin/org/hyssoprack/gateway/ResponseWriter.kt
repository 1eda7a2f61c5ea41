package org.hyssoprack.gateway

import io.netty.handler.codec.http.HttpHeaders

/** Writes the answer to one request, either whole or in pieces. */
interface ResponseWriter {
    /** Whether a first byte has been written. */
    val isStarted: Boolean

    /** Writes a whole answer. */
    suspend fun answer(status: Int, headers: HttpHeaders, body: ByteArray)

    /** Begins an answer whose length is not known. */
    suspend fun start(status: Int, headers: HttpHeaders)

    /** Writes [bytes] at once; suspends while the caller does not read. */
    suspend fun send(bytes: ByteArray)

    /** Ends the answer as complete. */
    suspend fun end()

    /** Closes the caller's connection, so that the answer is seen to be incomplete. */
    fun abort()
}
