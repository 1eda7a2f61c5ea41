package org.hyssoprack.integration.caller

/**
 * Parameters of one call.
 *
 * @property content text that is unique to the call and from which the expected answer is built.
 * @property tokens length of a completion's answer in tokens.
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
    /** Text of a complete answer. */
    val expectedText: String
        get() = when (kind) {
            CallKind.LETTER, CallKind.QUESTION ->
                (0 until tokens).joinToString("") { "$content:$it " }
            CallKind.BOOKING -> content
            CallKind.LOOKUP -> ""
        }
}
