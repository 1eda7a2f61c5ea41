package org.hyssoprack.integration.caller

/**
 * One call to make.
 *
 * @property content unique text of the call; the answer must consist of it.
 * @property tokens length of the answer of a completion.
 * @property key idempotency key of a booking.
 */
data class CallSpec(
    val kind: CallKind,
    val content: String,
    val tokens: Int = 20,
    val key: String = content,
    val deadlineMs: Long? = null,
    val stream: Boolean = true
) {
    /** The text that a whole answer has. */
    val expectedText: String
        get() = when (kind) {
            CallKind.LETTER, CallKind.QUESTION ->
                (0 until tokens).joinToString("") { "$content:$it " }
            CallKind.BOOKING -> content
            CallKind.LOOKUP -> ""
        }
}
