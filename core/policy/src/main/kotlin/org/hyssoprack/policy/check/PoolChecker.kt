package org.hyssoprack.policy.check

import java.math.BigDecimal
import org.hyssoprack.policy.syntax.Item
import org.hyssoprack.policy.syntax.Located
import org.hyssoprack.policy.syntax.PoolProperty
import org.hyssoprack.policy.syntax.Statement

/** Checks the properties of the pools of a policy, and that no two pools have the same target. */
internal class PoolChecker(private val declarations: Declarations, private val faults: FaultList) {
    private val poolByTarget = HashMap<String, String>()

    fun check() {
        for (pool in declarations.pools) {
            checkDuplicateProperties(pool)
            checkTarget(pool)
            checkEngineProperties(pool)
            checkValues(pool)
            checkHeadroom(pool)
        }
    }

    private fun checkDuplicateProperties(pool: Statement.Pool) {
        val seen = HashSet<String>()
        for (item in pool.properties) {
            val property = item.value
            if (property is PoolProperty.Headroom) continue
            if (seen.add(property.keyword)) continue
            faults.add(item.at, "pool '${pool.name.value}' has '${property.keyword}' twice")
        }
    }

    private fun checkTarget(pool: Statement.Pool) {
        val targets = pool.properties.mapNotNull { target(it) }
        if (targets.map { it.kind }.distinct().size != 1) {
            val detail = "pool '${pool.name.value}' needs either 'engines' or 'service'"
            faults.add(pool.name.at, detail)
            return
        }
        val target = targets.first()
        val other = poolByTarget.putIfAbsent(target.toString(), pool.name.value) ?: return
        faults.add(target.item.at, "pool '$other' already has $target")
    }

    private fun target(item: Item<PoolProperty>): Target? = when (val property = item.value) {
        is PoolProperty.Engines -> Target("engines with model", property.model.value, item)
        is PoolProperty.Service -> Target("service", property.service.value, item)
        else -> null
    }

    private fun checkEngineProperties(pool: Statement.Pool) {
        if (pool.properties.none { it.value is PoolProperty.Service }) return
        for (item in pool.properties) {
            if (!isForEnginesOnly(item.value)) continue
            val keyword = item.value.keyword
            faults.add(item.at, "'$keyword' is only allowed in pools of engines")
        }
    }

    private fun isForEnginesOnly(property: PoolProperty): Boolean =
        property is PoolProperty.FirstToken ||
            property is PoolProperty.BetweenTokens ||
            property is PoolProperty.LongShare

    private fun checkValues(pool: Statement.Pool) {
        for (item in pool.properties) {
            when (val property = item.value) {
                is PoolProperty.Engines -> checkName(property.model)

                is PoolProperty.Service -> checkName(property.service)

                is PoolProperty.FirstToken -> checkTargetTime(property.ms)

                is PoolProperty.BetweenTokens -> checkTargetTime(property.ms)

                is PoolProperty.PreemptAfter ->
                    faults.checkRange(property.ms, 0L..MAX_PREEMPT_MS, "from 0 ms to 1 min")

                is PoolProperty.Queue ->
                    faults.checkRange(property.limit, 1L..MAX_QUEUE, "from 1 to $MAX_QUEUE")

                is PoolProperty.LongShare ->
                    faults.checkRange(property.percent, BigDecimal.ONE..HUNDRED, "from 1% to 100%")

                is PoolProperty.Headroom, is PoolProperty.Routing, is PoolProperty.Queueing -> Unit
            }
        }
    }

    private fun checkName(name: Located<String>) {
        if (name.value.isBlank()) faults.add(name.at, "the name must not be empty")
    }

    private fun checkTargetTime(ms: Located<Long>) =
        faults.checkRange(ms, 1L..MAX_TARGET_MS, "from 1 ms to 10 min")

    private fun checkHeadroom(pool: Statement.Pool) {
        val headrooms = pool.properties.mapNotNull { it.value as? PoolProperty.Headroom }
        val seen = HashSet<String>()
        var sum = BigDecimal.ZERO
        for (headroom in headrooms) {
            val tier = headroom.tier
            faults.reportUnknown(tier, declarations.tierNames, "tier")
            if (!seen.add(tier.value)) {
                faults.add(
                    tier.at,
                    "pool '${pool.name.value}' has headroom for tier '${tier.value}' twice"
                )
            }
            if (tier.value == declarations.tierNames.lastOrNull()) {
                faults.add(
                    tier.at,
                    "headroom for the lowest tier has no effect: no tier is below it"
                )
            }
            if (headroom.percent.value.signum() == 0) {
                faults.add(headroom.percent.at, "the value must be above 0%")
            }
            sum += headroom.percent.value
            if (sum >= HUNDRED) {
                val detail = "the total headroom of $sum% leaves nothing for the lowest tier"
                faults.add(headroom.percent.at, detail)
            }
        }
    }

    private class Target(val kind: String, val name: String, val item: Item<PoolProperty>) {
        override fun toString() = "$kind \"$name\""
    }

    private companion object {
        const val MAX_TARGET_MS = 600_000L
        const val MAX_PREEMPT_MS = 60_000L
        const val MAX_QUEUE = 1_000_000L
        val HUNDRED: BigDecimal = BigDecimal(100)
    }
}
