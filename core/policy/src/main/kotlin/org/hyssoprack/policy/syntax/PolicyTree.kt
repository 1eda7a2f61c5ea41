package org.hyssoprack.policy.syntax

import java.math.BigDecimal

/** A parsed policy; [closingComments] holds the comments after the last statement. */
internal data class PolicyTree(
    val statements: List<Item<Statement>>,
    val closingComments: List<String>
)

/**
 * A statement, property or clause with the comments that belong to it.
 *
 * @property leadingComments comments on the lines above.
 * @property trailingComment comment at the end of the line, or null.
 */
internal data class Item<out T>(
    val value: T,
    val at: Position,
    val leadingComments: List<String> = emptyList(),
    val trailingComment: String? = null
)

/** One statement at the top level of a policy. */
internal sealed interface Statement {
    val name: Located<String>

    data class Tier(override val name: Located<String>, val objective: Located<BigDecimal>) :
        Statement

    data class Account(override val name: Located<String>, val share: Located<Long>?) : Statement

    data class Pool(
        override val name: Located<String>,
        val properties: List<Item<PoolProperty>>,
        val closingComments: List<String> = emptyList()
    ) : Statement

    data class Route(
        override val name: Located<String>,
        val clauses: List<Item<RouteClause>>,
        val closingComments: List<String> = emptyList()
    ) : Statement
}
