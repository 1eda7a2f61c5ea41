package org.hyssoprack.orders

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.ModelVersion
import org.hyssoprack.store.WeightStore

/** Finds the version to load. One call to the weight store at a time, its answers kept a while. */
internal class VersionResolver(
    private val weights: WeightStore,
    private val clock: Clock,
    private val settings: OrderSettings,
    private val pause: suspend (Long) -> Unit
) {
    private val mutex = Mutex()
    private val known = HashMap<ModelId, KnownVersions>()

    /** The version that [desired] names, or the newest. Fails with ORDER_REFUSED or STORE_…. */
    suspend fun choose(desired: DesiredState): Either<Failure, String> =
        versions(desired.model).fold({ it.left() }, { pick(desired, it) })

    private fun pick(desired: DesiredState, versions: List<ModelVersion>): Either<Failure, String> {
        val found = versions.lastOrNull { desired.version == null || it.version == desired.version }
        if (found != null) return found.version.right()
        val wanted = desired.version ?: "any version"
        return Failure(
            code = ResultCode.ORDER_REFUSED,
            detail = "The weight store has no $wanted of ${desired.model}."
        ).left()
    }

    private suspend fun versions(model: ModelId) = mutex.withLock {
        val cached = known[model]
        if (cached != null && clock.nowMs() < cached.untilMs) return@withLock cached.list.right()
        fetch(model).onRight {
            known[model] = KnownVersions(it, untilMs = clock.nowMs() + settings.versionTtlMs)
        }
    }

    private suspend fun fetch(model: ModelId): Either<Failure, List<ModelVersion>> {
        repeat(settings.weightTries - 1) {
            val result = weights.versions(model)
            val failure = result.leftOrNull() ?: return result
            if (failure.code != ResultCode.STORE_LIMITED) return result
            pause(failure.retryAfterMs ?: DEFAULT_PAUSE_MS)
        }
        return weights.versions(model)
    }

    private class KnownVersions(val list: List<ModelVersion>, val untilMs: Long)

    private companion object {
        const val DEFAULT_PAUSE_MS = 1_000L
    }
}
