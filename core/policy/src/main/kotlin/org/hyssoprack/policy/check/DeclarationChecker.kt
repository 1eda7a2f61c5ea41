package org.hyssoprack.policy.check

import java.math.BigDecimal
import org.hyssoprack.policy.syntax.Position

/** Checks tiers and accounts, and reports names that are declared more than once. */
internal class DeclarationChecker(
    private val declarations: Declarations,
    private val faults: FaultList
) {
    fun check() {
        with(declarations) {
            faults.reportDuplicates(tiers.map { it.name }, "tier")
            faults.reportDuplicates(accounts.map { it.name }, "account")
            faults.reportDuplicates(pools.map { it.name }, "pool")
            faults.reportDuplicates(routes.map { it.name }, "route")
        }
        if (declarations.tiers.isEmpty()) faults.add(TEXT_START, "a policy needs at least one tier")
        checkTiers()
        checkShares()
    }

    private fun checkTiers() {
        for (tier in declarations.tiers) {
            val objective = tier.objective
            if (objective.value.signum() > 0 && objective.value < HUNDRED) continue
            faults.add(objective.at, "the objective must be above 0% and below 100%")
        }
    }

    private fun checkShares() {
        for (account in declarations.accounts) {
            val share = account.share ?: continue
            faults.checkRange(share, 1L..MAX_SHARE, "from 1 to $MAX_SHARE")
        }
    }

    private companion object {
        const val MAX_SHARE = 1_000L
        val HUNDRED: BigDecimal = BigDecimal(100)
        val TEXT_START = Position(line = 1, column = 1)
    }
}
