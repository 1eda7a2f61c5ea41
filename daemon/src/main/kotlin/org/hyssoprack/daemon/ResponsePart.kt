package org.hyssoprack.daemon

import org.hyssoprack.backend.EngineUsage
import org.hyssoprack.common.Failure

/** One part of a completion's response to the caller. */
internal sealed interface ResponsePart {
    /** One token's stream chunk. */
    data class Token(val data: String) : ResponsePart

    /** The end of a complete response. */
    data class Finished(val usage: EngineUsage) : ResponsePart

    /** The failure that ends a response before it is complete. */
    data class Failed(val failure: Failure) : ResponsePart
}
