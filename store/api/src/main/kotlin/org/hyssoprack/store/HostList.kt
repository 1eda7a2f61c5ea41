package org.hyssoprack.store

import arrow.core.Either
import org.hyssoprack.common.Failure

/** The platform's list of live and leaving backend servers; it may be outdated. */
interface HostList {
    /** Reads all entries. Fails with STORE_UNAVAILABLE. */
    suspend fun backendServers(): Either<Failure, List<BackendServer>>
}
