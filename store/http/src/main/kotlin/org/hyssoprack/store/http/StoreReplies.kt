package org.hyssoprack.store.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

internal val PlatformJson = Json { ignoreUnknownKeys = true }

/** Returns the response if its status is 200 or [otherStatus], else the failure. */
internal fun StoreReply.answer(otherStatus: Int = StoreStatus.OK) = when (this) {
    is StoreReply.NotSent -> failure.left()
    is StoreReply.NoAnswer -> failure.left()
    is StoreReply.Answered ->
        if (status == StoreStatus.OK || status == otherStatus) right() else failure().left()
}

/** Maps a status other than 200 to a failure. */
internal fun StoreReply.Answered.failure(): Failure {
    val code = when (status) {
        StoreStatus.LIMITED -> ResultCode.STORE_LIMITED
        else -> ResultCode.STORE_UNAVAILABLE
    }
    return Failure(
        code = code,
        detail = "The service responded with status $status.",
        retryAfterMs = retryAfterMs
    )
}

/** Decodes the body as JSON. Fails with STORE_UNAVAILABLE if that is not possible. */
internal fun <T> StoreReply.Answered.decode(
    strategy: DeserializationStrategy<T>
): Either<Failure, T> = try {
    PlatformJson.decodeFromString(strategy, body.decodeToString()).right()
} catch (e: SerializationException) {
    unreadable(e).left()
} catch (e: IllegalArgumentException) {
    unreadable(e).left()
}

private fun unreadable(e: Exception) = Failure(
    code = ResultCode.STORE_UNAVAILABLE,
    detail = "The service's response cannot be decoded: ${e.message}"
)
