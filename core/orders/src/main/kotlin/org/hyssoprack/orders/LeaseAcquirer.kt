package org.hyssoprack.orders

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import java.util.UUID
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FencingNumber
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.Row
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/**
 * Acquires, renews and releases order leases. No host relies on another's clock: a host that takes
 * over a lease waits for a whole term on its own clock and checks that the row has not changed.
 */
internal class LeaseAcquirer(
    private val self: HostRef,
    private val table: TableService,
    private val clock: Clock,
    private val settings: OrderSettings,
    private val pause: suspend (Long) -> Unit
) {
    /**
     * Acquires the lease of [server]. Fails with LEASE_HELD, STORE_UNAVAILABLE or STORE_LIMITED.
     */
    suspend fun acquire(server: BackendServer): Either<Failure, OrderLease> = either {
        val row = read(server).bind() ?: return write(server, expected = 0, fencing = FIRST_FENCING)
        val current = LeaseRow.of(row) ?: return unreadable(server).left()
        if (!current.released && current.holder != self) {
            awaitExpiry(server, row).bind()
        }
        val next = FencingNumber(current.fencing.value + 1)
        write(server, expected = row.revision, fencing = next).bind()
    }

    /** Renews [lease]; fails with LEASE_HELD if another host has acquired it. */
    suspend fun renew(server: BackendServer, lease: OrderLease): Either<Failure, OrderLease> =
        write(server, lease.revision, lease.fencing, lease.leaseId)

    /**
     * Marks [lease] as released. If the write fails, the next holder has to wait for its expiry.
     */
    suspend fun release(server: BackendServer, lease: OrderLease) {
        val row = LeaseRow(lease.leaseId, holder = self, fencing = lease.fencing, released = true)
        table.compareAndSet(LeaseRow.keyOf(server.id), lease.revision, row.toJson())
    }

    private suspend fun read(server: BackendServer) = table.read(LeaseRow.keyOf(server.id))

    private suspend fun awaitExpiry(server: BackendServer, row: Row): Either<Failure, Unit> {
        // A server that checks fencing numbers refuses orders of the old holder, so the new one
        // need not wait.
        if (server.checksFencing) return Unit.right()
        val untilMs = clock.nowMs() + settings.termMs + settings.clockMarginMs
        while (clock.nowMs() < untilMs) pause(untilMs - clock.nowMs())
        return read(server).fold(
            ifLeft = { it.left() },
            ifRight = { if (it?.revision == row.revision) Unit.right() else held(server).left() }
        )
    }

    private suspend fun write(
        server: BackendServer,
        expected: Long,
        fencing: FencingNumber,
        leaseId: String = UUID.randomUUID().toString()
    ): Either<Failure, OrderLease> {
        val endsMs = clock.nowMs() + settings.termMs
        val body = LeaseRow(leaseId = leaseId, holder = self, fencing = fencing)
        val key = LeaseRow.keyOf(server.id)
        return when (val result = table.compareAndSet(key, expected, body.toJson())) {
            is WriteResult.Applied -> lease(body, result.row, endsMs).right()
            is WriteResult.Conflict -> held(server).left()
            is WriteResult.Refused -> result.failure.left()
            is WriteResult.Undecided -> readBack(server, body, expected, endsMs)
        }
    }

    private suspend fun readBack(
        server: BackendServer,
        body: LeaseRow,
        expected: Long,
        endsMs: Long
    ): Either<Failure, OrderLease> = either {
        val row = read(server).bind()
        val isWritten = row != null && row.revision > expected && LeaseRow.of(row) == body
        if (!isWritten) raise(undecided(server))
        lease(body, row, endsMs)
    }

    private fun lease(body: LeaseRow, row: Row, endsMs: Long) = OrderLease(
        leaseId = body.leaseId,
        fencing = body.fencing,
        revision = row.revision,
        endsMs = endsMs
    )

    private fun held(server: BackendServer) =
        Failure(ResultCode.LEASE_HELD, "Another host holds the order lease of ${server.id}.")

    private fun undecided(server: BackendServer) =
        Failure(ResultCode.STORE_UNAVAILABLE, "The order lease write of ${server.id} is undecided.")

    private fun unreadable(server: BackendServer) =
        Failure(ResultCode.STORE_UNAVAILABLE, "The order lease row of ${server.id} is malformed.")

    private companion object {
        val FIRST_FENCING = FencingNumber(1)
    }
}
