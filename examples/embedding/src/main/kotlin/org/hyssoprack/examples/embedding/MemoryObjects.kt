package org.hyssoprack.examples.embedding

import arrow.core.Either
import arrow.core.right
import java.security.MessageDigest
import java.util.concurrent.ConcurrentHashMap
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure
import org.hyssoprack.store.ObjectStore

/** In-memory object store that replaces the object store of the platform. */
class MemoryObjects : ObjectStore {
    private val bodies = ConcurrentHashMap<ContentHash, ByteArray>()

    override suspend fun put(body: ByteArray): Either<Failure, ContentHash> {
        val digest = MessageDigest.getInstance("SHA-256").digest(body)
        val hash = ContentHash(digest.joinToString("") { "%02x".format(it) })
        bodies[hash] = body
        return hash.right()
    }

    override suspend fun get(hash: ContentHash): Either<Failure, ByteArray?> = bodies[hash].right()
}
