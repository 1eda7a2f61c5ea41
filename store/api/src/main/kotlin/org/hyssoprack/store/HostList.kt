package org.hyssoprack.store

import arrow.core.Either
import org.hyssoprack.common.Failure

/** The platform's list of live and leaving backend servers. It lags behind the truth. */
interface HostList {
    /** All entries. Fails with STORE_UNAVAILABLE. */
    suspend fun backendServers(): Either<Failure, List<BackendServer>>
}
