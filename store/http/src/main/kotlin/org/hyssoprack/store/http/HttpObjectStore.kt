package org.hyssoprack.store.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.ObjectStore

/** [ObjectStore] over HTTP. */
class HttpObjectStore(private val connection: PlatformServiceClient) : ObjectStore {
    override suspend fun put(body: ByteArray): Either<Failure, ContentHash> {
        val hash = ContentHash.of(body)
        return connection.put("${PlatformPath.OBJECTS}/$hash", body).answer().map { hash }
    }

    override suspend fun get(hash: ContentHash): Either<Failure, ByteArray?> =
        connection.get("${PlatformPath.OBJECTS}/$hash")
            .answer(otherStatus = StoreStatus.MISSING)
            .flatMap { checked(hash, it) }

    private fun checked(hash: ContentHash, reply: StoreReply.Answered) = when {
        reply.status == StoreStatus.MISSING -> null.right()
        ContentHash.of(reply.body) == hash -> reply.body.right()
        else -> Failure(
            code = ResultCode.STORE_UNAVAILABLE,
            detail = "The body of object $hash does not match its hash."
        ).left()
    }
}
