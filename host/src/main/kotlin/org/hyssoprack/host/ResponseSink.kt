package org.hyssoprack.host

import org.hyssoprack.backend.EngineUsage

/** Receives the parts of a completion's answer for the caller. */
interface ResponseSink {
    /** Takes one token's stream chunk, a JSON text. False if the caller has left. */
    suspend fun token(data: String): Boolean

    /** Takes the end of a whole answer. False if the caller has left. */
    suspend fun finished(usage: EngineUsage): Boolean
}
