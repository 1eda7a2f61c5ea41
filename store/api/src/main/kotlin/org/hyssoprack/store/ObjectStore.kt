package org.hyssoprack.store

import arrow.core.Either
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure

/** The platform's object store, used for immutable bodies addressed by their hash. */
interface ObjectStore {
    /** Stores [body] and returns its hash; idempotent. */
    suspend fun put(body: ByteArray): Either<Failure, ContentHash>

    /** Reads the body and verifies its [hash]; null if it is not stored. */
    suspend fun get(hash: ContentHash): Either<Failure, ByteArray?>
}
