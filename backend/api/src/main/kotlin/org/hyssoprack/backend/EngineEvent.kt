package org.hyssoprack.backend

import org.hyssoprack.common.Failure

/** What happens to a completion on an engine, in order; exactly one [Finished] or [Failed] ends it. */
sealed interface EngineEvent {
    /** The engine has taken the request in. */
    data object Accepted : EngineEvent

    /**
     * One token. [data] is the JSON text of the engine's stream chunk, [index] counts tokens from 0.
     */
    data class Token(val index: Int, val data: String) : EngineEvent

    /** The answer is whole: the end marker came and the engine's count matches. */
    data class Finished(val usage: EngineUsage) : EngineEvent

    /** The answer is not whole. The failure's code says whether the request may have run. */
    data class Failed(val failure: Failure, val usage: EngineUsage) : EngineEvent
}
