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

/**
 * Resolves the model version to load. Calls the weight store one call at a time and caches its
 * answers for [OrderSettings.versionTtlMs].
 */
internal class VersionResolver(
    private val weights: WeightStore,
    private val clock: Clock,
    private val settings: OrderSettings,
    private val pause: suspend (Long) -> Unit
) {
    private val mutex = Mutex()
    private val cachedVersions = HashMap<ModelId, CachedVersions>()

    /**
     * Returns the version that [desired] names, or the newest one. Fails with ORDER_REFUSED if the
     * weight store lacks it, or with the failure of the weight store.
     */
    suspend fun choose(desired: DesiredState): Either<Failure, String> =
        versions(desired.model).fold({ it.left() }, { pick(desired, it) })

    private fun pick(desired: DesiredState, versions: List<ModelVersion>): Either<Failure, String> {
        val found = versions.lastOrNull { desired.version == null || it.version == desired.version }
        if (found != null) return found.version.right()
        val wanted = desired.version?.let { "version $it" } ?: "any version"
        return Failure(
            code = ResultCode.ORDER_REFUSED,
            detail = "The weight store lacks $wanted of ${desired.model}."
        ).left()
    }

    private suspend fun versions(model: ModelId) = mutex.withLock {
        val cached = cachedVersions[model]
        if (cached != null && clock.nowMs() < cached.untilMs) return@withLock cached.list.right()
        fetch(model).onRight {
            val untilMs = clock.nowMs() + settings.versionTtlMs
            cachedVersions[model] = CachedVersions(it, untilMs)
        }
    }

    private suspend fun fetch(model: ModelId): Either<Failure, List<ModelVersion>> {
        repeat(settings.weightStoreAttempts - 1) {
            val result = weights.versions(model)
            val failure = result.leftOrNull() ?: return result
            if (failure.code != ResultCode.STORE_LIMITED) return result
            pause(failure.retryAfterMs ?: DEFAULT_PAUSE_MS)
        }
        return weights.versions(model)
    }

    private class CachedVersions(val list: List<ModelVersion>, val untilMs: Long)

    private companion object {
        const val DEFAULT_PAUSE_MS = 1_000L
    }
}
