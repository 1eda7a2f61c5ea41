package org.hyssoprack.gateway.forwarding.rollout

import arrow.core.Either
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.ServiceId
import org.hyssoprack.rollout.RolloutOrder
import org.hyssoprack.rollout.RolloutState
import org.hyssoprack.rollout.RolloutStatus
import org.hyssoprack.store.RowKey

/** [RolloutRows] with texts of two words: version and duration, state and version. */
internal object PlainRows : RolloutRows {
    override fun serviceOf(key: String) = ServiceId(key)

    override fun orderKey(service: ServiceId) = RowKey("op", service.value)

    override fun statusKey(service: ServiceId) = RowKey("status", service.value)

    override fun decodeOrder(service: ServiceId, text: String): Either<Failure, RolloutOrder> =
        decode {
            val (to, durationMs) = text.split(' ')
            RolloutOrder(service, to, durationMs.toLong())
        }

    override fun decodeStatus(text: String): Either<Failure, RolloutStatus> = decode {
        val (state, to) = text.split(' ')
        RolloutStatus(RolloutState.valueOf(state), to)
    }

    override fun encodeStatus(status: RolloutStatus) = "${status.state} ${status.to}"

    private fun <T> decode(read: () -> T) =
        Either.catch(read).mapLeft { Failure(ResultCode.SETTINGS_INVALID, "$it") }
}
