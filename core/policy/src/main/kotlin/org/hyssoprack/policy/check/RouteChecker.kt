package org.hyssoprack.policy.check

import org.hyssoprack.policy.syntax.Item
import org.hyssoprack.policy.syntax.Located
import org.hyssoprack.policy.syntax.PoolProperty
import org.hyssoprack.policy.syntax.Predicate
import org.hyssoprack.policy.syntax.RouteClause
import org.hyssoprack.policy.syntax.Statement

/** Checks the clauses of the routes of a policy, and the names that they refer to. */
internal class RouteChecker(private val declarations: Declarations, private val faults: FaultList) {
    fun check() {
        for (route in declarations.routes) {
            checkClauses(route)
            for (item in route.clauses) checkClause(item)
            checkTarget(route)
        }
        checkNonRepeatableRoutes()
    }

    private fun checkClauses(route: Statement.Route) {
        val seen = HashSet<String>()
        for (item in route.clauses) {
            if (seen.add(item.value.keyword)) continue
            faults.add(item.at, "route '${route.name.value}' has '${item.value.keyword}' twice")
        }
        for (keyword in REQUIRED - seen) {
            faults.add(route.name.at, "route '${route.name.value}' has no '$keyword'")
        }
    }

    private fun checkClause(item: Item<RouteClause>) {
        when (val clause = item.value) {
            is RouteClause.Tier -> faults.reportUnknown(clause.name, declarations.tierNames, "tier")

            is RouteClause.Pool -> faults.reportUnknown(clause.name, declarations.poolNames, "pool")

            is RouteClause.Deadline ->
                faults.checkRange(clause.ms, 1L..MAX_DEADLINE_MS, "from 1 ms to 1440 min")

            is RouteClause.When -> checkPredicates(clause.predicates)

            is RouteClause.Once -> Unit
        }
    }

    private fun checkPredicates(predicates: List<Located<Predicate>>) {
        val seen = HashSet<String>()
        for (predicate in predicates) {
            val keyword = predicate.value.keyword
            if (!seen.add(
                    keyword
                )
            ) {
                faults.add(predicate.at, "the 'when' clause tests '$keyword' twice")
            }
            checkPredicate(predicate.value)
        }
    }

    private fun checkPredicate(predicate: Predicate) {
        when (predicate) {
            is Predicate.Account -> checkAccounts(predicate.names)
            is Predicate.Model -> checkText(predicate.name)
            is Predicate.Service -> checkText(predicate.name)
            is Predicate.Lane -> checkText(predicate.name)
            is Predicate.Method -> checkMethod(predicate.name)
            is Predicate.Path -> checkPath(predicate.pattern)
        }
    }

    private fun checkAccounts(names: List<Located<String>>) {
        val seen = HashSet<String>()
        for (name in names) {
            faults.reportUnknown(name, declarations.accountNames, "account")
            if (!seen.add(
                    name.value
                )
            ) {
                faults.add(name.at, "account '${name.value}' is listed twice")
            }
        }
    }

    private fun checkText(text: Located<String>) {
        if (text.value.isBlank()) faults.add(text.at, "the name must not be empty")
    }

    private fun checkMethod(method: Located<String>) {
        if (method.value in METHODS) return
        val hint = Suggestion.hint(method.value, METHODS)
        faults.add(method.at, "'${method.value}' is not an HTTP method$hint")
    }

    private fun checkPath(path: Located<String>) {
        if (!path.value.startsWith('/')) faults.add(path.at, "the path must start with '/'")
        if ('*' in path.value.dropLast(1)) {
            faults.add(path.at, "'*' is only allowed at the end of a path")
        }
    }

    private fun checkTarget(route: Statement.Route) {
        val name = route.clauses.first<RouteClause.Pool>()?.name?.value ?: return
        val pool = declarations.pool(name) ?: return
        val model = pool.properties.first<PoolProperty.Engines>()?.model?.value
        val service = pool.properties.first<PoolProperty.Service>()?.service?.value
        for (predicate in route.clauses.first<RouteClause.When>()?.predicates.orEmpty()) {
            val wanted = when (val value = predicate.value) {
                is Predicate.Model -> value.name.value to model
                is Predicate.Service -> value.name.value to service
                else -> continue
            }
            if (wanted.first == wanted.second) continue
            val target = if (model != null) {
                "engines with model \"$model\""
            } else {
                "service \"$service\""
            }
            faults.add(predicate.at, "the condition contradicts pool '$name', which has $target")
        }
    }

    private fun checkNonRepeatableRoutes() {
        val highestTierByPool = HashMap<String, Located<String>>()
        for (route in declarations.routes) {
            val pool = route.clauses.first<RouteClause.Pool>()?.name?.value ?: continue
            val tier = route.clauses.first<RouteClause.Tier>()?.name ?: continue
            val rank = declarations.rank(tier.value) ?: continue
            val known = highestTierByPool[pool]
            if (known == null || rank < declarations.rank(known.value)!!) {
                highestTierByPool[pool] = tier
            }
        }
        for (route in declarations.routes) checkNonRepeatableRoute(route, highestTierByPool)
    }

    private fun checkNonRepeatableRoute(
        route: Statement.Route,
        highestTierByPool: Map<String, Located<String>>
    ) {
        val once = route.clauses.firstOrNull { it.value is RouteClause.Once } ?: return
        val pool = route.clauses.first<RouteClause.Pool>()?.name?.value ?: return
        val tier = route.clauses.first<RouteClause.Tier>()?.name?.value ?: return
        val top = highestTierByPool[pool] ?: return
        if (declarations.rank(tier) == null || tier == top.value) return
        faults.add(
            once.at,
            "a call that may not be repeated is never preempted, so its route must be in " +
                "'${top.value}', the highest tier of pool '$pool' (line ${top.at.line})"
        )
    }

    private companion object {
        const val MAX_DEADLINE_MS = 86_400_000L
        val REQUIRED = setOf("tier", "pool", "deadline")
        val METHODS = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
    }
}
