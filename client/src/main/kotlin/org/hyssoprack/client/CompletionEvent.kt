package org.hyssoprack.client

import org.hyssoprack.common.Failure
import org.hyssoprack.common.RequestId

/** What happens to a completion, in order; exactly one [Finished] or [Failed] ends it. */
sealed interface CompletionEvent {
    /** One token; [index] counts from 0, [data] is the chunk's JSON text. */
    data class Token(val index: Int, val text: String, val data: String) : CompletionEvent

    /** The answer is whole: end marker, count and id were checked. */
    data class Finished(val requestId: RequestId, val usage: CompletionUsage) : CompletionEvent

    /** The answer is not whole; the outcome of the failure's code says whether the call may have run. */
    data class Failed(val failure: Failure) : CompletionEvent
}
