package org.hyssoprack.policy.check

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.policy.Condition
import org.hyssoprack.policy.Route
import org.hyssoprack.policy.syntax.Statement

/** Finds routes that no request can reach, because earlier routes match all their requests. */
internal class ShadowChecker(
    private val accounts: Set<ClientAccount>,
    private val faults: FaultList
) {
    /** Reports unreachable routes. [routes] and [statements] must be in the same order. */
    fun check(routes: List<Route>, statements: List<Statement.Route>) {
        for (index in routes.indices) {
            val shadows = shadowsOf(routes[index], routes.subList(0, index))
            if (shadows.isEmpty()) continue
            val names = shadows.joinToString(", ") { "'${it.name}'" }
            val name = statements[index].name
            faults.add(name.at, "route '${name.value}' is unreachable after $names")
        }
    }

    private fun shadowsOf(route: Route, earlier: List<Route>): List<Route> {
        val uncovered = accountsOf(route).toMutableSet()
        if (uncovered.isEmpty()) return emptyList()
        val shadows = mutableListOf<Route>()
        for (candidate in earlier) {
            if (!coversBesidesAccounts(candidate, route)) continue
            if (!uncovered.removeAll(accountsOf(candidate))) continue
            shadows += candidate
            if (uncovered.isEmpty()) return shadows
        }
        return emptyList()
    }

    private fun accountsOf(route: Route): Set<ClientAccount> =
        route.conditions.firstNotNullOfOrNull { it as? Condition.AccountIn }?.accounts ?: accounts

    private fun coversBesidesAccounts(earlier: Route, later: Route): Boolean =
        earlier.conditions.all { condition ->
            condition is Condition.AccountIn || later.conditions.any { implies(it, condition) }
        }

    private fun implies(condition: Condition, wider: Condition): Boolean {
        if (condition == wider) return true
        if (condition !is Condition.PathIs || wider !is Condition.PathIs) return false
        if (!wider.pattern.endsWith('*')) return false
        return condition.pattern.startsWith(wider.pattern.dropLast(1))
    }
}
