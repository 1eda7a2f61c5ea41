package org.hyssoprack.policy.check

import java.math.BigDecimal
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.common.TierName
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.AccountPolicy
import org.hyssoprack.policy.CompiledPolicy
import org.hyssoprack.policy.Condition
import org.hyssoprack.policy.Pool
import org.hyssoprack.policy.Route
import org.hyssoprack.policy.Tier
import org.hyssoprack.policy.syntax.PoolProperty
import org.hyssoprack.policy.syntax.Predicate
import org.hyssoprack.policy.syntax.RouteClause
import org.hyssoprack.policy.syntax.Statement

/** Builds the compiled policy from declarations that passed all checks. */
internal class PolicyBuilder(private val declarations: Declarations) {
    private val tiers = declarations.tiers.mapIndexed { index, tier ->
        Tier(
            name = TierName(tier.name.value),
            rank = TierRank(index),
            objective = share(tier.objective.value)
        )
    }
    private val pools = declarations.pools.map { pool(it) }.associateBy { it.name }

    fun build(): CompiledPolicy = CompiledPolicy(
        tiers = tiers,
        pools = pools,
        accounts = declarations.accounts.map { account(it) }.associateBy { it.account },
        routes = declarations.routes.map { route(it) }
    )

    private fun account(statement: Statement.Account) = AccountPolicy(
        account = ClientAccount(statement.name.value),
        share = statement.share?.value?.toInt() ?: 1
    )

    private fun pool(statement: Statement.Pool): Pool =
        statement.properties.fold(Pool(name = PoolName(statement.name.value))) { pool, item ->
            withProperty(pool, item.value)
        }

    private fun withProperty(pool: Pool, property: PoolProperty): Pool = when (property) {
        is PoolProperty.Engines -> pool.copy(model = ModelId(property.model.value))
        is PoolProperty.Service -> pool.copy(service = ServiceId(property.service.value))
        is PoolProperty.FirstToken -> pool.copy(firstTokenTargetMs = property.ms.value)
        is PoolProperty.BetweenTokens -> pool.copy(tokenTargetMs = property.ms.value)
        is PoolProperty.Headroom -> pool.copy(headroom = pool.headroom + headroom(property))
        is PoolProperty.PreemptAfter -> pool.copy(preemptAfterMs = property.ms.value)
        is PoolProperty.Queue -> pool.copy(queueLimit = property.limit.value.toInt())
        is PoolProperty.LongShare -> pool.copy(longShare = share(property.percent.value))
        is PoolProperty.Routing -> pool.copy(routing = property.rule)
        is PoolProperty.Queueing -> pool.copy(queueing = property.rule)
    }

    private fun headroom(property: PoolProperty.Headroom) =
        TierName(property.tier.value) to share(property.percent.value)

    private fun route(statement: Statement.Route): Route {
        val clauses = statement.clauses
        val tier = clauses.first<RouteClause.Tier>()!!.name.value
        val pool = pools.getValue(PoolName(clauses.first<RouteClause.Pool>()!!.name.value))
        val predicates = clauses.first<RouteClause.When>()?.predicates.orEmpty().map { it.value }
        return Route(
            name = RouteName(statement.name.value),
            conditions = (target(pool) + predicates.map { condition(it) }).distinct(),
            tier = tiers.first { it.name.value == tier },
            pool = pool.name,
            deadlineMs = clauses.first<RouteClause.Deadline>()!!.ms.value,
            once = clauses.any { it.value is RouteClause.Once }
        )
    }

    private fun target(pool: Pool): List<Condition> = listOfNotNull(
        pool.model?.let { Condition.ModelIs(it) },
        pool.service?.let { Condition.ServiceIs(it) }
    )

    private fun condition(predicate: Predicate): Condition = when (predicate) {
        is Predicate.Account -> Condition.AccountIn(
            predicate.names.mapTo(HashSet()) {
                ClientAccount(it.value)
            }
        )
        is Predicate.Model -> Condition.ModelIs(ModelId(predicate.name.value))
        is Predicate.Service -> Condition.ServiceIs(ServiceId(predicate.name.value))
        is Predicate.Method -> Condition.MethodIs(predicate.name.value)
        is Predicate.Path -> Condition.PathIs(predicate.pattern.value)
        is Predicate.Lane -> Condition.LaneIs(predicate.name.value)
    }

    private fun share(percent: BigDecimal): Double = percent.movePointLeft(2).toDouble()
}
