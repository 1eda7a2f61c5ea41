package org.hyssoprack.policy.syntax

import arrow.core.raise.Raise
import org.hyssoprack.policy.PolicyFault

/** Reads the lines of a route's block. */
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
            "when" -> RouteClause.When(tests())
            "tier" -> RouteClause.Tier(name("a tier name"))
            "pool" -> RouteClause.Pool(name("a pool name"))
            "deadline" -> RouteClause.Deadline(duration())
            else -> RouteClause.Once
        }
    }

    private fun Raise<PolicyFault>.tests(): List<Located<Test>> {
        val tests = mutableListOf(test())
        while (cursor.isWord("and")) {
            cursor.advance()
            tests += test()
        }
        return tests
    }

    private fun Raise<PolicyFault>.test(): Located<Test> = with(cursor) {
        val keyword = token
        if (keyword.kind != TokenKind.WORD || keyword.text !in TESTS) {
            unexpected(TESTS.map { "'$it'" })
        }
        advance()
        Located(value = testOf(keyword.text), at = keyword.at)
    }

    private fun Raise<PolicyFault>.testOf(keyword: String): Test = with(cursor) {
        when (keyword) {
            "account" -> Test.Account(accounts())
            "model" -> Test.Model(string("a model name in quotes"))
            "service" -> Test.Service(string("a service name in quotes"))
            "method" -> Test.Method(name("an HTTP method such as POST"))
            "path" -> Test.Path(string("a path in quotes"))
            else -> Test.Lane(string("a lane in quotes"))
        }
    }

    private fun Raise<PolicyFault>.accounts(): List<Located<String>> = with(cursor) {
        word("in")
        mark("(")
        val names = mutableListOf(name("an account name"))
        while (!isMark(")")) {
            if (!isMark(",")) unexpected("','", "')'")
            advance()
            names += name("an account name")
        }
        mark(")")
        names
    }

    private companion object {
        val KEYWORDS = listOf("when", "tier", "pool", "deadline", "once")
        val TESTS = listOf("account", "model", "service", "method", "path", "lane")
    }
}
