package org.hyssoprack.policy.syntax

import java.math.BigDecimal
import org.hyssoprack.policy.syntax.PoolParser.Companion.symbol

/** Formats a syntax tree as policy text in the standard layout. */
internal class PolicyPrinter {
    private val out = StringBuilder()

    fun print(tree: PolicyTree): String {
        var previous: Statement? = null
        for (item in tree.statements) {
            if (previous != null && needsBlankLine(previous, item.value)) out.append('\n')
            item(item, indent = "") { statement(item.value) }
            previous = item.value
        }
        comments(tree.closingComments, indent = "")
        return out.toString()
    }

    private fun needsBlankLine(previous: Statement, next: Statement): Boolean {
        val block = next is Statement.Pool || next is Statement.Route
        return block || previous::class != next::class
    }

    private fun <T> item(item: Item<T>, indent: String, write: () -> Unit) {
        comments(item.leadingComments, indent)
        out.append(indent)
        write()
        if (item.trailingComment != null) out.append("  # ").append(item.trailingComment)
        out.append('\n')
    }

    private fun comments(texts: List<String>, indent: String) {
        for (text in texts) {
            if (text != TokenCursor.BLANK_LINE) out.append("$indent# $text".trimEnd())
            out.append('\n')
        }
    }

    private fun statement(statement: Statement) {
        when (statement) {
            is Statement.Tier -> tier(statement)

            is Statement.Account -> account(statement)

            is Statement.Pool -> block("pool", statement.name, statement.closingComments) {
                for (item in statement.properties) {
                    item(item, INDENT) { out.append(property(item.value)) }
                }
            }

            is Statement.Route -> block("route", statement.name, statement.closingComments) {
                for (item in statement.clauses) {
                    item(item, INDENT) { out.append(clause(item.value)) }
                }
            }
        }
    }

    private fun tier(tier: Statement.Tier) {
        out.append("tier ${tier.name.value} objective ${percent(tier.objective.value)}")
    }

    private fun account(account: Statement.Account) {
        out.append("account ${account.name.value}")
        if (account.share != null) out.append(" share ${account.share.value}")
    }

    private fun block(
        keyword: String,
        name: Located<String>,
        closingComments: List<String>,
        lines: () -> Unit
    ) {
        out.append("$keyword ${name.value} {\n")
        lines()
        comments(closingComments, INDENT)
        out.append('}')
    }

    private fun property(property: PoolProperty): String {
        val value = when (property) {
            is PoolProperty.Engines -> "model ${quoted(property.model.value)}"
            is PoolProperty.Service -> quoted(property.service.value)
            is PoolProperty.FirstToken -> duration(property.ms.value)
            is PoolProperty.BetweenTokens -> duration(property.ms.value)
            is PoolProperty.Headroom -> "${property.tier.value} ${percent(property.percent.value)}"
            is PoolProperty.PreemptAfter -> "after ${duration(property.ms.value)}"
            is PoolProperty.Queue -> property.limit.value.toString()
            is PoolProperty.LongShare -> percent(property.percent.value)
            is PoolProperty.Routing -> property.rule.symbol()
            is PoolProperty.Queueing -> property.rule.symbol()
        }
        return "${property.keyword} $value"
    }

    private fun clause(clause: RouteClause): String = when (clause) {
        is RouteClause.When ->
            "when ${clause.predicates.joinToString(" and ") { predicate(it.value) }}"
        is RouteClause.Tier -> "tier ${clause.name.value}"
        is RouteClause.Pool -> "pool ${clause.name.value}"
        is RouteClause.Deadline -> "deadline ${duration(clause.ms.value)}"
        is RouteClause.Once -> "once"
    }

    private fun predicate(predicate: Predicate): String {
        val value = when (predicate) {
            is Predicate.Account -> "in (${predicate.names.joinToString(", ") { it.value }})"
            is Predicate.Model -> quoted(predicate.name.value)
            is Predicate.Service -> quoted(predicate.name.value)
            is Predicate.Method -> predicate.name.value
            is Predicate.Path -> quoted(predicate.pattern.value)
            is Predicate.Lane -> quoted(predicate.name.value)
        }
        return "${predicate.keyword} $value"
    }

    private fun quoted(text: String): String {
        val escaped = text.replace("\\", "\\\\").replace("\"", "\\\"")
        return "\"$escaped\""
    }

    private fun percent(value: BigDecimal): String =
        "${value.stripTrailingZeros().toPlainString()}%"

    private fun duration(ms: Long): String {
        val unit = DurationUnit.entries.last { ms % it.ms == 0L && (ms > 0 || it.ms == 1L) }
        return "${ms / unit.ms} ${unit.symbol}"
    }

    private companion object {
        const val INDENT = "  "
    }
}
