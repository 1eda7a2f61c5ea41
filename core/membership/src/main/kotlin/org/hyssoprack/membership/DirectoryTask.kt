package org.hyssoprack.membership

import arrow.core.Either
import kotlinx.coroutines.delay
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq

/** Registers this run in the directory, reads seeds from it, and removes rows of dead hosts. */
internal class DirectoryTask(
    private val self: Member,
    private val directory: MemberDirectory,
    private val log: EventLog,
    private val onSeeds: suspend (List<NetworkAddress>) -> Unit
) {
    /**
     * Lists the seeds, registers this run and lists them again; retries the last two until each has
     * succeeded, or has failed with LEASE_HELD. With this order, of two hosts that start at the same
     * time, at least the one that registers last finds the other. The first list holds the hosts of
     * before a restart, which have to find each other also while the directory loses writes.
     */
    suspend fun join() {
        findSeeds().onLeft { logFailure("member-list-failed", it) }
        retryUntilDone("member-register-failed") { directory.register(self) }
        retryUntilDone("member-list-failed") { findSeeds() }
    }

    /** Reads the directory once and passes the link addresses in it to [onSeeds]. */
    suspend fun findSeeds(): Either<Failure, Unit> =
        directory.list().map { members -> onSeeds(members.map { it.linkAddress }) }

    /** Removes the row of [dead]; logs a failure and does not retry. */
    suspend fun remove(dead: HostRef) {
        directory.remove(dead).onLeft {
            log.event("member-remove-failed", "host" eq dead, "failure" eq it)
        }
    }

    private suspend fun retryUntilDone(event: String, step: suspend () -> Either<Failure, Unit>) {
        while (true) {
            val failure = step().leftOrNull() ?: return
            logFailure(event, failure)
            if (failure.code == ResultCode.LEASE_HELD) return
            delay(RETRY_DELAY_MS)
        }
    }

    private fun logFailure(event: String, failure: Failure) =
        log.event(event, "host" eq self.ref, "failure" eq failure)

    private companion object {
        const val RETRY_DELAY_MS = 2_000L
    }
}
