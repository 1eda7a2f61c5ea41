package org.hyssoprack.client

import org.hyssoprack.common.Failure
import org.hyssoprack.common.RequestId

/** An event of a completion's stream; exactly one [Finished] or [Failed] ends the stream. */
sealed interface CompletionEvent {
    /** One token; [index] counts from 0, [data] is the chunk's JSON text. */
    data class Token(val index: Int, val text: String, val data: String) : CompletionEvent

    /** The answer is complete: its end marker, token count and request id are valid. */
    data class Finished(val requestId: RequestId, val usage: CompletionUsage) : CompletionEvent

    /** The answer is incomplete; the outcome of [failure]'s code tells if the call may have run. */
    data class Failed(val failure: Failure) : CompletionEvent
}
