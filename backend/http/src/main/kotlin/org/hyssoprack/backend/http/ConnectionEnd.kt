package org.hyssoprack.backend.http

import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.common.Failure

/** How one connection of a response ended. */
internal sealed interface ConnectionEnd {
    /** The response ended; [event] is its last event. */
    data class Settled(val event: EngineEvent) : ConnectionEnd

    /** The connection broke; another one may resume the response where it stopped. */
    data class Broken(val failure: Failure) : ConnectionEnd
}
