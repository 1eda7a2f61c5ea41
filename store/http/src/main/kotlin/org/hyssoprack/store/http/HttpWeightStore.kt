package org.hyssoprack.store.http

import arrow.core.Either
import arrow.core.flatMap
import io.ktor.http.encodeURLPathPart
import kotlinx.serialization.builtins.ListSerializer
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ModelId
import org.hyssoprack.store.ModelVersion
import org.hyssoprack.store.WeightStore

/** [WeightStore] over HTTP. */
class HttpWeightStore(private val connection: PlatformServiceClient) : WeightStore {
    override suspend fun versions(model: ModelId): Either<Failure, List<ModelVersion>> =
        connection.get("${PlatformPath.MODELS}/${model.value.encodeURLPathPart()}/versions")
            .answer()
            .flatMap { it.decode(ListSerializer(ModelVersion.serializer())) }
}
