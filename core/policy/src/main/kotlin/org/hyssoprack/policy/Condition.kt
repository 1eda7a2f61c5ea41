package org.hyssoprack.policy

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.ServiceId

/** A condition that a request must meet to match a route. */
sealed interface Condition {
    /** Returns true if a request with [metadata] meets the condition. */
    fun holds(metadata: RequestMetadata): Boolean

    /** The request comes from one of [accounts]. */
    data class AccountIn(val accounts: Set<ClientAccount>) : Condition {
        override fun holds(metadata: RequestMetadata): Boolean = metadata.account in accounts
    }

    /** The request names [model]. */
    data class ModelIs(val model: ModelId) : Condition {
        override fun holds(metadata: RequestMetadata): Boolean = metadata.model == model
    }

    /** The request is for [service]. */
    data class ServiceIs(val service: ServiceId) : Condition {
        override fun holds(metadata: RequestMetadata): Boolean = metadata.service == service
    }

    /** The HTTP method is [method], in upper case. */
    data class MethodIs(val method: String) : Condition {
        override fun holds(metadata: RequestMetadata): Boolean = metadata.method == method
    }

    /** The path equals [pattern], or starts with it up to a final `*`. */
    data class PathIs(val pattern: String) : Condition {
        override fun holds(metadata: RequestMetadata): Boolean {
            if (!pattern.endsWith('*')) return metadata.path == pattern
            return metadata.path.startsWith(pattern.dropLast(1))
        }
    }

    /** The caller's lane header is [lane]. */
    data class LaneIs(val lane: String) : Condition {
        override fun holds(metadata: RequestMetadata): Boolean = metadata.lane == lane
    }
}
