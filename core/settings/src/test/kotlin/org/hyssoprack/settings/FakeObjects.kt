package org.hyssoprack.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.ObjectStore

/** In-memory object store. */
internal class FakeObjects : ObjectStore {
    val bodies = HashMap<ContentHash, ByteArray>()
    var isDown = false
    var gets = 0

    override suspend fun put(body: ByteArray): Either<Failure, ContentHash> {
        if (isDown) return FAILURE.left()
        val hash = ContentHash.of(body)
        bodies[hash] = body
        return hash.right()
    }

    override suspend fun get(hash: ContentHash): Either<Failure, ByteArray?> {
        gets++
        return if (isDown) FAILURE.left() else bodies[hash].right()
    }

    private companion object {
        val FAILURE = Failure(ResultCode.STORE_UNAVAILABLE, "down")
    }
}
