package org.hyssoprack.integration.caller

/**
 * What a caller was told.
 *
 * @property code number of the result code; 0 if none was given.
 * @property text text of the answer, as far as it came.
 * @property answerIds request ids that the answer carried.
 * @property bundle version of the bundle that served the call; 0 if none was given.
 */
data class Told(
    val outcome: ToldOutcome,
    val code: Int = 0,
    val text: String = "",
    val answerIds: Set<String> = emptySet(),
    val bundle: Long = 0,
    val detail: String = ""
)
