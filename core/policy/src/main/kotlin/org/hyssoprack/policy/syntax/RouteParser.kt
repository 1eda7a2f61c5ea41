package org.hyssoprack.policy.syntax

import arrow.core.raise.Raise
import org.hyssoprack.policy.PolicyFault

/** Parses the lines of a route's block. */
internal class RouteParser(private val cursor: TokenCursor) {
    fun Raise<PolicyFault>.clause(): RouteClause {
        val keyword = cursor.token
        if (keyword.kind != TokenKind.WORD || keyword.text !in KEYWORDS) {
            with(cursor) { unexpected(KEYWORDS.map { "'$it'" } + "'}'") }
        }
        cursor.advance()
        return valueOf(keyword.text)
    }

    private fun Raise<PolicyFault>.valueOf(keyword: String): RouteClause = with(cursor) {
        when (keyword) {
            "when" -> RouteClause.When(predicates())
            "tier" -> RouteClause.Tier(name("a tier name"))
            "pool" -> RouteClause.Pool(name("a pool name"))
            "deadline" -> RouteClause.Deadline(duration())
            else -> RouteClause.Once
        }
    }

    private fun Raise<PolicyFault>.predicates(): List<Located<Predicate>> {
        val predicates = mutableListOf(predicate())
        while (cursor.isWord("and")) {
            cursor.advance()
            predicates += predicate()
        }
        return predicates
    }

    private fun Raise<PolicyFault>.predicate(): Located<Predicate> = with(cursor) {
        val keyword = token
        if (keyword.kind != TokenKind.WORD || keyword.text !in PREDICATE_KEYWORDS) {
            unexpected(PREDICATE_KEYWORDS.map { "'$it'" })
        }
        advance()
        Located(value = predicateOf(keyword.text), at = keyword.at)
    }

    private fun Raise<PolicyFault>.predicateOf(keyword: String): Predicate = with(cursor) {
        when (keyword) {
            "account" -> Predicate.Account(accounts())
            "model" -> Predicate.Model(string("a model name in quotes"))
            "service" -> Predicate.Service(string("a service name in quotes"))
            "method" -> Predicate.Method(name("an HTTP method such as POST"))
            "path" -> Predicate.Path(string("a path in quotes"))
            else -> Predicate.Lane(string("a lane in quotes"))
        }
    }

    private fun Raise<PolicyFault>.accounts(): List<Located<String>> = with(cursor) {
        expectKeyword("in")
        expectPunctuation("(")
        val names = mutableListOf(name("an account name"))
        while (!isPunctuation(")")) {
            if (!isPunctuation(",")) unexpected("','", "')'")
            advance()
            names += name("an account name")
        }
        expectPunctuation(")")
        names
    }

    private companion object {
        val KEYWORDS = listOf("when", "tier", "pool", "deadline", "once")
        val PREDICATE_KEYWORDS = listOf("account", "model", "service", "method", "path", "lane")
    }
}
