package org.hyssoprack.daemon

import org.hyssoprack.backend.EngineUsage
import org.hyssoprack.common.Failure

/** One part of a completion's answer on its way to the caller. */
internal sealed interface AnswerPart {
    /** One token's stream chunk. */
    data class Token(val data: String) : AnswerPart

    /** The end of a whole answer. */
    data class Finished(val usage: EngineUsage) : AnswerPart

    /** The end of an answer that is not whole. */
    data class Failed(val failure: Failure) : AnswerPart
}
