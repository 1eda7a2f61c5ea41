package org.hyssoprack.backend

import org.hyssoprack.common.Failure

/** Event of a completion on an engine; the last one is exactly one [Finished] or [Failed]. */
sealed interface EngineEvent {
    /** The engine has accepted the request. */
    data object Accepted : EngineEvent

    /**
     * One token. [data] is the JSON text of the engine's stream chunk; [index] counts from 0.
     */
    data class Token(val index: Int, val data: String) : EngineEvent

    /** The response is complete: the end marker arrived and the engine's token count matches. */
    data class Finished(val usage: EngineUsage) : EngineEvent

    /** The response is incomplete. The code of [failure] tells whether the request may have run. */
    data class Failed(val failure: Failure, val usage: EngineUsage) : EngineEvent
}
