package org.hyssoprack.serving.limits

import org.hyssoprack.common.PromptPartId

/** Whether a request may be sent to a server of its service, by the parts of its prompt. */
sealed interface PartVerdict {
    /** No part is blocked. */
    data object Allowed : PartVerdict

    /** [part] is blocked. */
    data class Blocked(val part: PromptPartId) : PartVerdict

    /** [part] is blocked, and the slot owner may let one request with it through. */
    data class TrialDue(val part: PromptPartId) : PartVerdict
}
