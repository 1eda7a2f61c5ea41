package org.hyssoprack.backend.http

import org.hyssoprack.backend.EngineEvent

/** What one chunk of a stream leads to. */
internal sealed interface ChunkResult {
    /** Nothing: the chunk holds no token, or one that came before. */
    data object Skip : ChunkResult

    /** A token to pass on. */
    data class Emit(val token: EngineEvent.Token) : ChunkResult

    /** The connection is over. */
    data class End(val end: ConnectionEnd) : ChunkResult
}
