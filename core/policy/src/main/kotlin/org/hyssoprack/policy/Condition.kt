package org.hyssoprack.policy

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.ServiceId

/** One condition of a route. */
sealed interface Condition {
    /** True if the condition holds for [facts]. */
    fun holds(facts: RequestMetadata): Boolean

    /** The request comes from one of [accounts]. */
    data class AccountIn(val accounts: Set<ClientAccount>) : Condition {
        override fun holds(facts: RequestMetadata): Boolean = facts.account in accounts
    }

    /** The request names [model]. */
    data class ModelIs(val model: ModelId) : Condition {
        override fun holds(facts: RequestMetadata): Boolean = facts.model == model
    }

    /** The request is for [service]. */
    data class ServiceIs(val service: ServiceId) : Condition {
        override fun holds(facts: RequestMetadata): Boolean = facts.service == service
    }

    /** The HTTP method is [method], in upper case. */
    data class MethodIs(val method: String) : Condition {
        override fun holds(facts: RequestMetadata): Boolean = facts.method == method
    }

    /** The path equals [pattern], or starts with it up to a final `*`. */
    data class PathIs(val pattern: String) : Condition {
        override fun holds(facts: RequestMetadata): Boolean {
            if (!pattern.endsWith('*')) return facts.path == pattern
            return facts.path.startsWith(pattern.dropLast(1))
        }
    }

    /** The caller's lane header is [lane]. */
    data class LaneIs(val lane: String) : Condition {
        override fun holds(facts: RequestMetadata): Boolean = facts.lane == lane
    }
}
