package org.hyssoprack.backend.http

import org.hyssoprack.backend.EngineEvent

/** Result of processing one chunk of a stream. */
internal sealed interface ChunkResult {
    /** Nothing to emit: the chunk has no token, or one that was already received. */
    data object Skip : ChunkResult

    /** A token to emit. */
    data class Emit(val token: EngineEvent.Token) : ChunkResult

    /** The connection ends. */
    data class End(val end: ConnectionEnd) : ChunkResult
}
