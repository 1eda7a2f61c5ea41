package org.hyssoprack.gateway.forwarding.feeds

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.MessageNumbers
import org.hyssoprack.link.Link
import org.hyssoprack.store.KnownEra
import org.hyssoprack.store.StorePosition

/**
 * Replicas of the store's tables on this host. Replies to requests of other hosts from them, and
 * sends requests to other hosts.
 *
 * @param run the run of this host, which numbers its requests.
 */
class SharedFeeds(
    run: Incarnation,
    private val link: Link,
    private val clock: Clock,
    private val scope: CoroutineScope,
    internal val knownEra: KnownEra = KnownEra()
) {
    private val replicas = HashMap<String, TableReplica>()
    private val heldRequests = HashMap<String, ArrayList<HeldRequest>>()
    private val pending = HashMap<Long, CompletableDeferred<FeedMessage>>()
    private val numbers = MessageNumbers(run)

    private class HeldRequest(val from: HostId, val request: FeedMessage.Request)

    internal fun replica(table: String): TableReplica = replicas.getOrPut(table) {
        TableReplica(clock)
    }

    /** Handles a message from another host. */
    fun receive(from: HostRef, message: FeedMessage) {
        knownEra.heard(message.era)
        when (message) {
            is FeedMessage.Request -> answer(from.host, message)
            is FeedMessage.Rows -> pending[message.number]?.complete(message)
            is FeedMessage.Unavailable -> pending[message.number]?.complete(message)
        }
    }

    /** Replies to the requests that wait for a change of [table]. */
    internal fun changed(table: String) {
        val held = heldRequests[table] ?: return
        val due = held.filter { replica(table).hasNewer(it.request.position) }
        held.removeAll(due.toSet())
        due.forEach { link.send(it.from, replica(table).answer(it.request)) }
    }

    /**
     * Requests the changes since [position] from [host]. Returns null if it does not reply in time.
     */
    internal suspend fun request(
        host: HostId,
        table: String,
        position: StorePosition?,
        waitMs: Long
    ): FeedMessage? {
        val number = numbers.next()
        val answer = CompletableDeferred<FeedMessage>()
        pending[number] = answer
        try {
            val request =
                FeedMessage.Request(number, table, position?.revision, waitMs, position?.era)
            link.send(host, request)
            return withTimeoutOrNull(waitMs + ROUND_TRIP_MS) { answer.await() }
        } finally {
            pending.remove(number)
        }
    }

    private fun answer(from: HostId, request: FeedMessage.Request) {
        val replica = replica(request.table)
        val isDue = replica.position == null || replica.hasNewer(request.position)
        if (isDue) return link.send(from, replica.answer(request))
        val entry = HeldRequest(from, request)
        heldRequests.getOrPut(request.table) { ArrayList() } += entry
        scope.launch {
            delay(request.waitMs.coerceIn(0, MAX_WAIT_MS))
            val wasHeld = heldRequests[request.table]?.remove(entry) == true
            if (wasHeld) link.send(from, replica.answer(request))
        }
    }

    private companion object {
        // Round trip between two hosts, plus the processing time of a busy host.
        const val ROUND_TRIP_MS = 400L
        const val MAX_WAIT_MS = 5_000L
    }
}
