package org.hyssoprack.policy.syntax

import arrow.core.raise.Raise
import java.math.BigDecimal
import org.hyssoprack.policy.PolicyFault

/** Reads tokens one by one and raises a fault where the text is not as expected. */
internal class TokenCursor(private val tokens: List<Token>) {
    private var index = 0
    private var takenComments = 0
    private val skippedComments = mutableListOf<String>()

    val token: Token get() = tokens[index]

    fun advance(): Token {
        val current = token
        if (index == tokens.lastIndex) return current
        skippedComments += takeComments()
        index++
        takenComments = 0
        return current
    }

    fun atEnd(): Boolean = token.kind == TokenKind.END

    fun isWord(text: String): Boolean = token.kind == TokenKind.WORD && token.text == text

    fun isMark(text: String): Boolean = token.kind == TokenKind.PUNCTUATION && token.text == text

    /** The comments before the current token that were not taken yet, with [GAP] between groups. */
    fun takeComments(): List<String> {
        val rest = token.comments.drop(takenComments)
        takenComments = token.comments.size
        return rest.flatMapIndexed { index, comment ->
            val follows = index == 0 || rest[index - 1].line == comment.line - 1
            if (follows) listOf(comment.text) else listOf(GAP, comment.text)
        }
    }

    /** The comment on the line of the token before, if any. */
    fun takeCommentAfter(): String? {
        val comment = token.comments.getOrNull(takenComments) ?: return null
        if (comment.line != lastLine()) return null
        takenComments++
        return comment.text
    }

    /** Comments between tokens that were read since the last call. */
    fun takeSkippedComments(): List<String> {
        val skipped = skippedComments.toList()
        skippedComments.clear()
        return skipped
    }

    /** Skips tokens until [stop] holds or the text ends; always skips at least one. */
    fun skipUntil(stop: (Token) -> Boolean) {
        advance()
        while (!atEnd() && !stop(token)) advance()
    }

    fun Raise<PolicyFault>.word(text: String) {
        if (!isWord(text)) unexpected("'$text'")
        advance()
    }

    fun Raise<PolicyFault>.mark(text: String) {
        if (!isMark(text)) unexpected("'$text'")
        advance()
    }

    fun Raise<PolicyFault>.name(what: String): Located<String> {
        if (token.kind != TokenKind.WORD) unexpected(what)
        return advance().located()
    }

    fun Raise<PolicyFault>.string(what: String): Located<String> {
        if (token.kind != TokenKind.STRING) unexpected(what)
        return advance().located()
    }

    fun Raise<PolicyFault>.count(what: String): Located<Long> {
        val whole = token.text.toLongOrNull()
        if (token.kind != TokenKind.NUMBER || whole == null) unexpected(what)
        return Located(value = whole, at = advance().at)
    }

    fun Raise<PolicyFault>.percent(): Located<BigDecimal> {
        if (token.kind != TokenKind.NUMBER) unexpected("a percentage such as 10%")
        val number = advance()
        mark("%")
        return Located(value = number.decimal(), at = number.at)
    }

    /** A duration in milliseconds. */
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
        raise(syntaxFault(token.at, "found ${token.shown()}", expected))

    private fun lastLine(): Int = if (index == 0) 0 else tokens[index - 1].at.line

    private fun Token.located() = Located(value = text, at = at)

    private fun Token.decimal() = BigDecimal(text)

    companion object {
        /** Stands for blank lines between comments. */
        const val GAP = "\n"
    }
}
