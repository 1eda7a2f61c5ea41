package org.hyssoprack.policy.syntax

import arrow.core.raise.Raise
import arrow.core.raise.recover
import org.hyssoprack.policy.PolicyFault

/**
 * Builds the syntax tree of a policy. After a syntax error it continues with the next statement, or
 * inside a block with the next line, so that one run reports the errors of all statements.
 */
internal class Parser(tokens: List<Token>) {
    val faults = mutableListOf<PolicyFault>()

    private val cursor = TokenCursor(tokens)
    private val poolParser = PoolParser(cursor)
    private val routeParser = RouteParser(cursor)

    fun policy(): PolicyTree {
        val statements = mutableListOf<Item<Statement>>()
        while (!cursor.atEnd()) {
            val item = recover({ item { statement() } }) { fault ->
                faults += fault
                cursor.skipToStatement()
                null
            }
            if (item != null) statements += item
        }
        return PolicyTree(statements = statements, closingComments = cursor.takeComments())
    }

    private fun Raise<PolicyFault>.statement(): Statement = with(cursor) {
        when {
            isWord("tier") -> tier()
            isWord("account") -> account()
            isWord("pool") -> pool()
            isWord("route") -> route()
            else -> unexpected(STATEMENTS.map { "'$it'" })
        }
    }

    private fun Raise<PolicyFault>.tier(): Statement = with(cursor) {
        expectKeyword("tier")
        val name = name("a tier name")
        expectKeyword("objective")
        Statement.Tier(name = name, objective = percent())
    }

    private fun Raise<PolicyFault>.account(): Statement = with(cursor) {
        expectKeyword("account")
        val name = name("an account name")
        if (!isWord("share")) return Statement.Account(name = name, share = null)
        advance()
        Statement.Account(name = name, share = count("a whole number"))
    }

    private fun Raise<PolicyFault>.pool(): Statement = with(cursor) {
        expectKeyword("pool")
        val name = name("a pool name")
        expectPunctuation("{")
        val properties = block { with(poolParser) { property() } }
        val closingComments = cursor.takeComments()
        expectPunctuation("}")
        Statement.Pool(name = name, properties = properties, closingComments = closingComments)
    }

    private fun Raise<PolicyFault>.route(): Statement = with(cursor) {
        expectKeyword("route")
        val name = name("a route name")
        expectPunctuation("{")
        val clauses = block { with(routeParser) { clause() } }
        val closingComments = cursor.takeComments()
        expectPunctuation("}")
        Statement.Route(name = name, clauses = clauses, closingComments = closingComments)
    }

    private fun <T : Any> block(read: Raise<PolicyFault>.() -> T): List<Item<T>> {
        val items = mutableListOf<Item<T>>()
        while (!cursor.atEnd() && !cursor.isPunctuation("}")) {
            val item = recover({ item(read) }) { fault ->
                faults += fault
                cursor.skipToLine()
                null
            }
            if (item != null) items += item
        }
        return items
    }

    private fun <T> Raise<PolicyFault>.item(read: Raise<PolicyFault>.() -> T): Item<T> {
        val leadingComments = cursor.takeSkippedComments() + cursor.takeComments()
        val at = cursor.token.at
        val value = read()
        return Item(
            value = value,
            at = at,
            leadingComments = leadingComments + cursor.takeSkippedComments(),
            trailingComment = cursor.takeTrailingComment()
        )
    }

    private fun TokenCursor.skipToStatement() = skipUntil { it.startsLine && it.text in STATEMENTS }

    private fun TokenCursor.skipToLine() {
        if (token.startsLine && isPunctuation("}")) return
        skipUntil { it.startsLine || it.text == "}" }
    }

    private companion object {
        val STATEMENTS = listOf("tier", "account", "pool", "route")
    }
}
