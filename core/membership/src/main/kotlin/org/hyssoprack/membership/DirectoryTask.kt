package org.hyssoprack.membership

import arrow.core.Either
import kotlinx.coroutines.delay
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq

/** Registers this run in the directory, finds seeds there, and removes rows of dead hosts. */
internal class DirectoryTask(
    private val self: Member,
    private val directory: MemberDirectory,
    private val log: EventLog,
    private val onSeeds: suspend (List<NetworkAddress>) -> Unit
) {
    /** Lists the seeds and registers this run; tries again until both are done. */
    suspend fun join() {
        untilDone("member-list-failed") {
            directory.list().map { members -> onSeeds(members.map { it.linkAddress }) }
        }
        untilDone("member-register-failed") { directory.register(self) }
    }

    /** Removes the row of [dead]; gives up after the first failure. */
    suspend fun remove(dead: HostRef) {
        directory.remove(dead).onLeft {
            log.event("member-remove-failed", "host" eq dead, "failure" eq it)
        }
    }

    private suspend fun untilDone(event: String, step: suspend () -> Either<Failure, Unit>) {
        while (true) {
            val failure = step().leftOrNull() ?: return
            log.event(event, "host" eq self.ref, "failure" eq failure)
            if (failure.code == ResultCode.LEASE_HELD) return
            delay(RETRY_DELAY_MS)
        }
    }

    private companion object {
        const val RETRY_DELAY_MS = 2_000L
    }
}
