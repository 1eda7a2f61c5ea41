package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.eq
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.fleet.ServerRegistry
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow

/**
 * Takes over the backend servers that register in the store.
 *
 * @param decode reads the entry of the server with the given id.
 */
class ServerSink(
    private val book: ServerRegistry,
    private val decode: (String, String) -> Either<Failure, RegisteredServer>,
    private val log: EventLog,
    private val onChanged: (Collection<RegisteredServer>) -> Unit
) : FeedSink {
    override fun replace(rows: List<FeedRow>): Boolean {
        book.replaceAll(rows.mapNotNull { serverOf(it) })
        log.event("servers-read", "rows" eq rows.size, "usable" eq book.all.size)
        onChanged(book.all)
        return true
    }

    override fun change(rows: List<FeedRow>): Boolean {
        rows.forEach { row ->
            val server = serverOf(row)
            if (server == null) book.remove(BackendServerId(row.key)) else book.put(server)
            log.event(
                "server-changed",
                "server" eq row.key,
                "service" eq server?.service,
                "address" eq server?.address,
                "leaving" eq server?.isLeaving
            )
        }
        onChanged(book.all)
        return true
    }

    override fun confirm(readStarted: ClockReading) = Unit

    override fun returned(agoMs: Long) = book.storeRecovered(agoMs)

    /** Drops entries that lapsed while the store was away and did not come back. */
    fun dropLapsed() {
        if (book.dropLapsed()) onChanged(book.all)
    }

    private fun serverOf(row: FeedRow): RegisteredServer? {
        val text = row.value ?: return null
        return decode(row.key, text)
            .onLeft { log.event("server-unreadable", "server" eq row.key, "detail" eq it.detail) }
            .getOrNull()
    }
}
