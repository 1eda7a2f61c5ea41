package org.hyssoprack.backend.http

import org.hyssoprack.backend.EngineEvent

/** What one chunk of a stream leads to. */
internal sealed interface ChunkStep {
    /** Nothing: the chunk holds no token, or one that came before. */
    data object Skip : ChunkStep

    /** A token to pass on. */
    data class Emit(val token: EngineEvent.Token) : ChunkStep

    /** The connection is over. */
    data class End(val end: ConnectionEnd) : ChunkStep
}
