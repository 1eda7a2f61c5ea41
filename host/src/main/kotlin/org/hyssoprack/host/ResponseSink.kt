package org.hyssoprack.host

import org.hyssoprack.backend.EngineUsage

/** Receives the parts of a completion's response to the caller. */
interface ResponseSink {
    /**
     * Sends one token's stream chunk, a JSON text. Returns false if the caller has disconnected.
     */
    suspend fun token(data: String): Boolean

    /** Ends a complete response. Returns false if the caller has disconnected. */
    suspend fun finished(usage: EngineUsage): Boolean
}
