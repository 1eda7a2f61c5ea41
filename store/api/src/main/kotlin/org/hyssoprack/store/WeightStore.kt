package org.hyssoprack.store

import arrow.core.Either
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ModelId

/** The platform's rate-limited store of model weights. */
interface WeightStore {
    /** Reads the loadable versions of [model]. Fails with STORE_LIMITED or STORE_UNAVAILABLE. */
    suspend fun versions(model: ModelId): Either<Failure, List<ModelVersion>>
}
