package org.hyssoprack.policy.check

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hyssoprack.policy.CompiledPolicy
import org.hyssoprack.policy.PolicyFault
import org.hyssoprack.policy.syntax.PolicyTree

/** Checks a parsed policy against the rules of the language. */
internal object PolicyChecker {
    /** Returns the compiled policy, or all rule violations. */
    fun check(tree: PolicyTree): Either<List<PolicyFault>, CompiledPolicy> {
        val declarations = Declarations(tree)
        val faults = FaultList()
        DeclarationChecker(declarations, faults).check()
        PoolChecker(declarations, faults).check()
        RouteChecker(declarations, faults).check()
        if (faults.faults.isNotEmpty()) return faults.faults.left()
        val policy = PolicyBuilder(declarations).build()
        ShadowChecker(policy.accounts.keys, faults).check(policy.routes, declarations.routes)
        if (faults.faults.isNotEmpty()) return faults.faults.left()
        return policy.right()
    }
}
