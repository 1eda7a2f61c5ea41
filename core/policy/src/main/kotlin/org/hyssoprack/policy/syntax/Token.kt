package org.hyssoprack.policy.syntax

/**
 * One token of a policy text.
 *
 * @property text text of the token; for a string, its value without quotes and escapes.
 * @property comments the comments between the previous token and this one.
 * @property startsLine true if it is the first token on its line.
 */
internal data class Token(
    val kind: TokenKind,
    val text: String,
    val at: Position,
    val comments: List<Comment> = emptyList(),
    val startsLine: Boolean = false
) {
    /** Returns the token as shown in error messages. */
    fun displayText(): String = when (kind) {
        TokenKind.END -> "the end of the text"
        TokenKind.STRING -> "\"${text.take(MAX_DISPLAY_CHARS)}\""
        else -> "'${text.take(MAX_DISPLAY_CHARS)}'"
    }

    private companion object {
        const val MAX_DISPLAY_CHARS = 40
    }
}
