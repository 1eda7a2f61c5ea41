package org.hyssoprack.policy.syntax

import arrow.core.raise.Raise
import java.math.BigDecimal
import org.hyssoprack.policy.PolicyFault

/** Reads tokens in order and raises a [PolicyFault] if a token is not of the expected kind. */
internal class TokenCursor(private val tokens: List<Token>) {
    private var index = 0
    private var takenCommentCount = 0
    private val skippedComments = mutableListOf<String>()

    val token: Token get() = tokens[index]

    fun advance(): Token {
        val current = token
        if (index == tokens.lastIndex) return current
        skippedComments += takeComments()
        index++
        takenCommentCount = 0
        return current
    }

    fun atEnd(): Boolean = token.kind == TokenKind.END

    fun isWord(text: String): Boolean = token.kind == TokenKind.WORD && token.text == text

    fun isPunctuation(text: String): Boolean =
        token.kind == TokenKind.PUNCTUATION && token.text == text

    /** Returns the remaining comments before the current token, [BLANK_LINE] between groups. */
    fun takeComments(): List<String> {
        val rest = token.comments.drop(takenCommentCount)
        takenCommentCount = token.comments.size
        return rest.flatMapIndexed { index, comment ->
            val follows = index == 0 || rest[index - 1].line == comment.line - 1
            if (follows) listOf(comment.text) else listOf(BLANK_LINE, comment.text)
        }
    }

    /** Returns the comment at the end of the previous token's line, or null. */
    fun takeTrailingComment(): String? {
        val comment = token.comments.getOrNull(takenCommentCount) ?: return null
        if (comment.line != previousTokenLine()) return null
        takenCommentCount++
        return comment.text
    }

    /** Returns the comments that [advance] skipped since the last call. */
    fun takeSkippedComments(): List<String> {
        val skipped = skippedComments.toList()
        skippedComments.clear()
        return skipped
    }

    /** Skips at least one token, then all tokens until [stop] holds or the text ends. */
    fun skipUntil(stop: (Token) -> Boolean) {
        advance()
        while (!atEnd() && !stop(token)) advance()
    }

    fun Raise<PolicyFault>.expectKeyword(text: String) {
        if (!isWord(text)) unexpected("'$text'")
        advance()
    }

    fun Raise<PolicyFault>.expectPunctuation(text: String) {
        if (!isPunctuation(text)) unexpected("'$text'")
        advance()
    }

    fun Raise<PolicyFault>.name(description: String): Located<String> {
        if (token.kind != TokenKind.WORD) unexpected(description)
        return advance().located()
    }

    fun Raise<PolicyFault>.string(description: String): Located<String> {
        if (token.kind != TokenKind.STRING) unexpected(description)
        return advance().located()
    }

    fun Raise<PolicyFault>.count(description: String): Located<Long> {
        val whole = token.text.toLongOrNull()
        if (token.kind != TokenKind.NUMBER || whole == null) unexpected(description)
        return Located(value = whole, at = advance().at)
    }

    fun Raise<PolicyFault>.percent(): Located<BigDecimal> {
        if (token.kind != TokenKind.NUMBER) unexpected("a percentage such as 10%")
        val number = advance()
        expectPunctuation("%")
        return Located(value = number.decimal(), at = number.at)
    }

    /** Reads a duration and returns it in milliseconds. */
    fun Raise<PolicyFault>.duration(): Located<Long> {
        if (token.kind != TokenKind.NUMBER) unexpected("a duration such as 350 ms")
        val number = advance()
        val unit = DurationUnit.entries.firstOrNull { isWord(it.symbol) }
            ?: unexpected(DurationUnit.entries.map { "'${it.symbol}'" })
        advance()
        val ms = number.decimal() * BigDecimal(unit.ms)
        if (ms.stripTrailingZeros().scale() > 0) {
            raise(syntaxFault(number.at, "the duration is not a whole number of milliseconds"))
        }
        return Located(value = ms.toLong(), at = number.at)
    }

    fun Raise<PolicyFault>.unexpected(vararg expected: String): Nothing =
        unexpected(expected.toList())

    fun Raise<PolicyFault>.unexpected(expected: List<String>): Nothing =
        raise(syntaxFault(token.at, "found ${token.displayText()}", expected))

    private fun previousTokenLine(): Int = if (index == 0) 0 else tokens[index - 1].at.line

    private fun Token.located() = Located(value = text, at = at)

    private fun Token.decimal() = BigDecimal(text)

    companion object {
        /** Represents the blank lines between two groups of comments. */
        const val BLANK_LINE = "\n"
    }
}
