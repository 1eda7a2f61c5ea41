package org.hyssoprack.store

import arrow.core.Either
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure

/** The platform's object store, used for immutable bodies that are named by their hash. */
interface ObjectStore {
    /** Stores [body]; storing the same body twice is harmless. */
    suspend fun put(body: ByteArray): Either<Failure, ContentHash>

    /** The body, checked against [hash], or null if it is not stored. */
    suspend fun get(hash: ContentHash): Either<Failure, ByteArray?>
}
