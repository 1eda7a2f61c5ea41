package org.hyssoprack.gateway.forwarding.rollout

import arrow.core.Either
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ServiceId
import org.hyssoprack.rollout.RolloutOrder
import org.hyssoprack.rollout.RolloutStatus
import org.hyssoprack.store.RowKey

/** The rows of the store by which operators order roll-outs and learn of their state. */
interface RolloutRows {
    /** Returns the service whose roll-out the row [key] concerns; null for other rows. */
    fun serviceOf(key: String): ServiceId?

    /** Key of the row with the order for [service]. */
    fun orderKey(service: ServiceId): RowKey

    /** Key of the row with the state of the roll-out of [service]. */
    fun statusKey(service: ServiceId): RowKey

    /** Parses an order for [service]. Fails with SETTINGS_INVALID. */
    fun decodeOrder(service: ServiceId, text: String): Either<Failure, RolloutOrder>

    /** Parses a state. Fails with SETTINGS_INVALID. */
    fun decodeStatus(text: String): Either<Failure, RolloutStatus>

    /** Returns the row's text for [status]. */
    fun encodeStatus(status: RolloutStatus): String
}
