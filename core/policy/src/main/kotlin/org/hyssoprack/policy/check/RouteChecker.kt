package org.hyssoprack.policy.check

import org.hyssoprack.policy.syntax.Item
import org.hyssoprack.policy.syntax.Located
import org.hyssoprack.policy.syntax.PoolProperty
import org.hyssoprack.policy.syntax.RouteClause
import org.hyssoprack.policy.syntax.Statement
import org.hyssoprack.policy.syntax.Test

/** Checks the routes of a policy. */
internal class RouteChecker(private val declarations: Declarations, private val faults: FaultList) {
    fun check() {
        for (route in declarations.routes) {
            checkClauses(route)
            for (item in route.clauses) checkClause(item)
            checkTarget(route)
        }
        checkCallsWithoutRepeat()
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
            is RouteClause.Tier -> faults.unknown(clause.name, declarations.tierNames, "tier")

            is RouteClause.Pool -> faults.unknown(clause.name, declarations.poolNames, "pool")

            is RouteClause.Deadline ->
                faults.range(clause.ms, 1L..MAX_DEADLINE_MS, "from 1 ms to 1440 min")

            is RouteClause.When -> checkTests(clause.tests)

            is RouteClause.Once -> Unit
        }
    }

    private fun checkTests(tests: List<Located<Test>>) {
        val seen = HashSet<String>()
        for (test in tests) {
            val keyword = test.value.keyword
            if (!seen.add(keyword)) faults.add(test.at, "a second test of the $keyword")
            checkTest(test.value)
        }
    }

    private fun checkTest(test: Test) {
        when (test) {
            is Test.Account -> checkAccounts(test.names)
            is Test.Model -> checkText(test.name)
            is Test.Service -> checkText(test.name)
            is Test.Lane -> checkText(test.name)
            is Test.Method -> checkMethod(test.name)
            is Test.Path -> checkPath(test.pattern)
        }
    }

    private fun checkAccounts(names: List<Located<String>>) {
        val seen = HashSet<String>()
        for (name in names) {
            faults.unknown(name, declarations.accountNames, "account")
            if (!seen.add(name.value)) faults.add(name.at, "'${name.value}' stands here twice")
        }
    }

    private fun checkText(text: Located<String>) {
        if (text.value.isBlank()) faults.add(text.at, "the name is empty")
    }

    private fun checkMethod(method: Located<String>) {
        if (method.value in METHODS) return
        val hint = Suggestion.hint(method.value, METHODS)
        faults.add(method.at, "'${method.value}' is not an HTTP method$hint")
    }

    private fun checkPath(path: Located<String>) {
        if (!path.value.startsWith('/')) faults.add(path.at, "a path starts with '/'")
        if ('*' in path.value.dropLast(1)) {
            faults.add(path.at, "'*' may only stand at the end of a path")
        }
    }

    private fun checkTarget(route: Statement.Route) {
        val name = route.clauses.first<RouteClause.Pool>()?.name?.value ?: return
        val pool = declarations.pool(name) ?: return
        val model = pool.properties.first<PoolProperty.Engines>()?.model?.value
        val service = pool.properties.first<PoolProperty.Service>()?.service?.value
        for (test in route.clauses.first<RouteClause.When>()?.tests.orEmpty()) {
            val wanted = when (val value = test.value) {
                is Test.Model -> value.name.value to model
                is Test.Service -> value.name.value to service
                else -> continue
            }
            if (wanted.first == wanted.second) continue
            val target = if (model != null) "engines with model \"$model\"" else "\"$service\""
            faults.add(test.at, "the test contradicts pool '$name', which has $target")
        }
    }

    private fun checkCallsWithoutRepeat() {
        val highest = HashMap<String, Located<String>>()
        for (route in declarations.routes) {
            val pool = route.clauses.first<RouteClause.Pool>()?.name?.value ?: continue
            val tier = route.clauses.first<RouteClause.Tier>()?.name ?: continue
            val rank = declarations.rank(tier.value) ?: continue
            val known = highest[pool]
            if (known == null || rank < declarations.rank(known.value)!!) highest[pool] = tier
        }
        for (route in declarations.routes) checkOnce(route, highest)
    }

    private fun checkOnce(route: Statement.Route, highest: Map<String, Located<String>>) {
        val once = route.clauses.firstOrNull { it.value is RouteClause.Once } ?: return
        val pool = route.clauses.first<RouteClause.Pool>()?.name?.value ?: return
        val tier = route.clauses.first<RouteClause.Tier>()?.name?.value ?: return
        val top = highest[pool] ?: return
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
