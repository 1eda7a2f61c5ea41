package org.hyssoprack.backend.http

import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.common.Failure

/** How one connection of an answer ended. */
internal sealed interface ConnectionEnd {
    /** The answer is settled by [event], its last. */
    data class Settled(val event: EngineEvent) : ConnectionEnd

    /** The connection is of no more use, but another one may go on where it stopped. */
    data class Broken(val failure: Failure) : ConnectionEnd
}
