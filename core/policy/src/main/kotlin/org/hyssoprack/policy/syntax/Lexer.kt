package org.hyssoprack.policy.syntax

import org.hyssoprack.policy.PolicyFault

/** Splits a policy text into tokens and reports unexpected characters in [faults]. */
internal class Lexer(private val text: String) {
    val faults = mutableListOf<PolicyFault>()

    private val tokens = mutableListOf<Token>()
    private val comments = mutableListOf<Comment>()
    private var index = 0
    private var line = 1
    private var lineStart = 0
    private var lineHasToken = false

    /** Returns all tokens of the text; the last one is of kind [TokenKind.END]. */
    fun tokens(): List<Token> {
        while (index < text.length) readNext()
        add(TokenKind.END, "", currentPosition())
        return tokens
    }

    private fun readNext() {
        val c = text[index]
        when {
            c == '\n' -> newLine()
            c.isWhitespace() || c == BYTE_ORDER_MARK -> index++
            c == '#' -> comment()
            c == '"' -> string()
            c.isDecimalDigit() -> number()
            c.isLetter() -> word()
            c in PUNCTUATION -> punctuation()
            else -> unexpectedCharacter()
        }
    }

    private fun newLine() {
        index++
        line++
        lineStart = index
        lineHasToken = false
    }

    private fun comment() {
        val start = index + 1
        index = endOfLine(start)
        comments += Comment(text = text.substring(start, index).trim(), line = line)
    }

    private fun string() {
        val at = currentPosition()
        val value = StringBuilder()
        index++
        while (index < text.length && text[index] != '"' && text[index] != '\n') {
            if (text[index] == '\\' && text.getOrNull(index + 1) in ESCAPABLE) index++
            value.append(text[index])
            index++
        }
        if (text.getOrNull(index) == '"') {
            index++
        } else {
            fault(at, "the string has no closing quote on its line", "'\"'")
        }
        add(TokenKind.STRING, value.toString(), at)
    }

    private fun number() {
        val at = currentPosition()
        val start = index
        skipWhile { it.isDecimalDigit() }
        if (text.getOrNull(index) == '.' && text.getOrNull(index + 1)?.isDecimalDigit() == true) {
            index++
            skipWhile { it.isDecimalDigit() }
        }
        val digits = text.substring(start, index)
        if (digits.length > MAX_NUMBER_CHARS) {
            fault(at, "the number is too long", "at most $MAX_NUMBER_CHARS digits")
        }
        add(TokenKind.NUMBER, digits.take(MAX_NUMBER_CHARS), at)
    }

    private fun word() {
        val at = currentPosition()
        val start = index
        skipWhile { it.isLetterOrDigit() || it == '-' || it == '_' }
        add(TokenKind.WORD, text.substring(start, index), at)
    }

    private fun punctuation() {
        val at = currentPosition()
        val mark = text[index].toString()
        index++
        add(TokenKind.PUNCTUATION, mark, at)
    }

    private fun unexpectedCharacter() {
        val at = currentPosition()
        val c = text[index]
        skipWhile { it == c }
        val shown = if (c.isISOControl()) "U+%04X".format(c.code) else "'$c'"
        fault(at, "unexpected character $shown")
    }

    private inline fun skipWhile(accept: (Char) -> Boolean) {
        while (index < text.length && accept(text[index])) index++
    }

    private fun endOfLine(from: Int): Int {
        val end = text.indexOf('\n', from)
        return if (end < 0) text.length else end
    }

    private fun currentPosition() = Position(line = line, column = index - lineStart + 1)

    private fun fault(at: Position, detail: String, vararg expected: String) {
        faults += syntaxFault(at = at, detail = detail, expected = expected.toList())
    }

    private fun add(kind: TokenKind, value: String, at: Position) {
        tokens += Token(
            kind = kind,
            text = value,
            at = at,
            comments = comments.toList(),
            startsLine = !lineHasToken
        )
        comments.clear()
        lineHasToken = true
    }

    private fun Char.isDecimalDigit() = this in '0'..'9'

    private companion object {
        const val PUNCTUATION = "{}(),%"
        const val ESCAPABLE_CHARS = "\"\\"
        const val MAX_NUMBER_CHARS = 12
        const val BYTE_ORDER_MARK = '\uFEFF'
        val ESCAPABLE: Set<Char?> = ESCAPABLE_CHARS.toSet()
    }
}
