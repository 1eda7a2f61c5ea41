package org.hyssoprack.integration.caller

/**
 * Result of one call attempt as its caller received it.
 *
 * @property code number of the result code; 0 if the answer has none.
 * @property text text of the answer as far as it was received.
 * @property answerIds request ids found in the answer.
 * @property bundle version of the bundle that served the call; 0 if the answer has none.
 */
data class CallResult(
    val outcome: CallOutcome,
    val code: Int = 0,
    val text: String = "",
    val answerIds: Set<String> = emptySet(),
    val bundle: Long = 0,
    val detail: String = ""
)
