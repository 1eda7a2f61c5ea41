package org.hyssoprack.orders

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.ModelVersion
import org.hyssoprack.store.WeightStore

/** Weight store with the versions 1 and 2 of every model; limits the first [limited] calls. */
internal class FakeWeights(private var limited: Int = 0) : WeightStore {
    var calls = 0
        private set

    override suspend fun versions(model: ModelId): Either<Failure, List<ModelVersion>> {
        calls++
        if (limited-- > 0) {
            return Failure(ResultCode.STORE_LIMITED, "limit", retryAfterMs = 1_000).left()
        }
        return listOf("1", "2").map { ModelVersion(model, it, sizeBytes = 1) }.right()
    }
}
