package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.catchAny
import org.hyssoprack.common.eq
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.fleet.ServerRegistry
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow

/**
 * Applies the registrations of backend servers in the store.
 *
 * @param decode decodes the entry of the server with the given id.
 */
class ServerSink(
    private val registry: ServerRegistry,
    private val decode: (String, String) -> Either<Failure, RegisteredServer>,
    private val log: EventLog,
    private val onChanged: (Collection<RegisteredServer>) -> Unit
) : FeedSink {
    override fun replace(rows: List<FeedRow>): Boolean {
        registry.replaceAll(rows.mapNotNull { serverOf(it) })
        log.event("servers-read", "rows" eq rows.size, "usable" eq registry.all.size)
        onChanged(registry.all)
        return true
    }

    override fun change(rows: List<FeedRow>): Boolean {
        rows.forEach { row ->
            val server = serverOf(row)
            if (server == null) registry.remove(BackendServerId(row.key)) else registry.put(server)
            log.event(
                "server-changed",
                "server" eq row.key,
                "service" eq server?.service,
                "address" eq server?.address,
                "leaving" eq server?.isLeaving
            )
        }
        onChanged(registry.all)
        return true
    }

    override fun confirm(readStarted: ClockReading) = Unit

    override fun storeRestored() = registry.storeRestored()

    override fun storeRecovered(agoMs: Long) = registry.storeRecovered(agoMs)

    /** Applies the removals and additions that had to wait for a time and are due. */
    fun applyDue() {
        if (registry.applyDue()) onChanged(registry.all)
    }

    private fun serverOf(row: FeedRow): RegisteredServer? {
        val text = row.value ?: return null
        return decoded(row.key, text)
            .onLeft { logUnreadable(row.key, it) }
            .getOrNull()
    }

    private fun logUnreadable(key: String, failure: Failure) = log.event(
        "server-unreadable",
        "server" eq key.take(MAX_LOGGED_CHARS),
        "detail" eq failure.detail
    )

    // Any row may come from another writer. An error of the decoder must not keep the other rows
    // from being applied.
    private fun decoded(id: String, text: String): Either<Failure, RegisteredServer> =
        catchAny { decode(id, text) }
            .getOrElse { Failure(ResultCode.SETTINGS_INVALID, "decoder failed: $it").left() }

    private companion object {
        const val MAX_LOGGED_CHARS = 120
    }
}
