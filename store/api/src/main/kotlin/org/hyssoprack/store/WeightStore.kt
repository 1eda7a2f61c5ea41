package org.hyssoprack.store

import arrow.core.Either
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ModelId

/** The platform's rate-limited store of model weights. */
interface WeightStore {
    /** Versions of [model] that can be loaded. Fails with STORE_LIMITED or STORE_UNAVAILABLE. */
    suspend fun versions(model: ModelId): Either<Failure, List<ModelVersion>>
}
