package org.hyssoprack.daemon

import org.hyssoprack.backend.EngineUsage
import org.hyssoprack.common.Failure

/** One part of a completion's answer on its way to the caller. */
internal sealed interface ResponsePart {
    /** One token's stream chunk. */
    data class Token(val data: String) : ResponsePart

    /** The end of a whole answer. */
    data class Finished(val usage: EngineUsage) : ResponsePart

    /** The end of an answer that is not whole. */
    data class Failed(val failure: Failure) : ResponsePart
}
