package org.hyssoprack.membership

import arrow.core.Either
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef

/** Persistent list of the hosts that have joined; a new host reads its first peers from it. */
interface MemberDirectory {
    /**
     * Registers [self] and replaces an older run of the host. Fails with STORE_UNAVAILABLE,
     * STORE_LIMITED, OUTCOME_UNDECIDED, or LEASE_HELD if a later run is registered.
     */
    suspend fun register(self: Member): Either<Failure, Unit>

    /** All registered hosts. Fails with STORE_UNAVAILABLE or STORE_LIMITED. */
    suspend fun list(): Either<Failure, List<Member>>

    /** Removes the entry of [dead] unless a later run of the host has replaced it. */
    suspend fun remove(dead: HostRef): Either<Failure, Unit>
}
