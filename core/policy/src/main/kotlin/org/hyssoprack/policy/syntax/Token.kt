package org.hyssoprack.policy.syntax

/**
 * One token of a policy text.
 *
 * @property text the token; for a string its value without quotes and escapes.
 * @property comments the comments between the token before and this one.
 * @property startsLine whether no other token precedes it on its line.
 */
internal data class Token(
    val kind: TokenKind,
    val text: String,
    val at: Position,
    val comments: List<Comment> = emptyList(),
    val startsLine: Boolean = false
) {
    /** The token as error messages show it. */
    fun shown(): String = when (kind) {
        TokenKind.END -> "the end of the text"
        TokenKind.STRING -> "\"${text.take(SHOWN_CHARS)}\""
        else -> "'${text.take(SHOWN_CHARS)}'"
    }

    private companion object {
        const val SHOWN_CHARS = 40
    }
}
