package org.hyssoprack.policy.check

import org.hyssoprack.policy.syntax.Item
import org.hyssoprack.policy.syntax.PolicyTree
import org.hyssoprack.policy.syntax.Statement

/** The statements of a policy by their kind, and the names that they declare. */
internal class Declarations(tree: PolicyTree) {
    val tiers = tree.statements.mapNotNull { it.value as? Statement.Tier }
    val accounts = tree.statements.mapNotNull { it.value as? Statement.Account }
    val pools = tree.statements.mapNotNull { it.value as? Statement.Pool }
    val routes = tree.statements.mapNotNull { it.value as? Statement.Route }

    val tierNames = tiers.mapTo(LinkedHashSet()) { it.name.value }
    val accountNames = accounts.mapTo(LinkedHashSet()) { it.name.value }
    val poolNames = pools.mapTo(LinkedHashSet()) { it.name.value }

    /** Returns the rank of a tier, 0 for the highest; null if there is no such tier. */
    fun rank(tier: String): Int? = tierNames.indexOf(tier).takeIf { it >= 0 }

    fun pool(name: String): Statement.Pool? = pools.firstOrNull { it.name.value == name }
}

/** Returns the first value of type [T], or null. */
internal inline fun <reified T> List<Item<*>>.first(): T? = firstNotNullOfOrNull { it.value as? T }
