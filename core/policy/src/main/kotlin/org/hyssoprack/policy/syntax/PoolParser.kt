package org.hyssoprack.policy.syntax

import arrow.core.raise.Raise
import org.hyssoprack.policy.PolicyFault
import org.hyssoprack.policy.QueueRule
import org.hyssoprack.policy.RoutingRule

/** Parses the lines of a pool's block. */
internal class PoolParser(private val cursor: TokenCursor) {
    fun Raise<PolicyFault>.property(): PoolProperty {
        val keyword = cursor.token
        if (keyword.kind != TokenKind.WORD || keyword.text !in KEYWORDS) {
            with(cursor) { unexpected(KEYWORDS.map { "'$it'" } + "'}'") }
        }
        cursor.advance()
        return valueOf(keyword.text)
    }

    private fun Raise<PolicyFault>.valueOf(keyword: String): PoolProperty = with(cursor) {
        when (keyword) {
            "engines" -> {
                expectKeyword("model")
                PoolProperty.Engines(string("a model name in quotes"))
            }

            "service" -> PoolProperty.Service(string("a service name in quotes"))

            "first-token" -> PoolProperty.FirstToken(duration())

            "between-tokens" -> PoolProperty.BetweenTokens(duration())

            "headroom" -> PoolProperty.Headroom(tier = name("a tier name"), percent = percent())

            "preempt" -> {
                expectKeyword("after")
                PoolProperty.PreemptAfter(duration())
            }

            "queue" -> PoolProperty.Queue(count("a whole number of requests"))

            "long-share" -> PoolProperty.LongShare(percent())

            "routing" -> PoolProperty.Routing(choice(ROUTING_RULES))

            else -> PoolProperty.Queueing(choice(QUEUE_RULES))
        }
    }

    private fun <T> Raise<PolicyFault>.choice(rules: Map<String, T>): T = with(cursor) {
        val rule = rules[token.text].takeIf { token.kind == TokenKind.WORD }
            ?: unexpected(rules.keys.map { "'$it'" })
        advance()
        rule
    }

    companion object {
        private val KEYWORDS = listOf(
            "engines", "service", "first-token", "between-tokens", "headroom", "preempt", "queue",
            "long-share", "routing", "queueing"
        )
        val ROUTING_RULES = RoutingRule.entries.associateBy { it.symbol() }
        val QUEUE_RULES = QueueRule.entries.associateBy { it.symbol() }

        /** Returns the keyword of an enum constant: its name in lower case, with hyphens. */
        fun Enum<*>.symbol(): String = name.lowercase().replace('_', '-')
    }
}
