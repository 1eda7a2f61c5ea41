package org.hyssoprack.gateway.forwarding.feeds

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.link.Link

/** This host's copies of the store's tables: answers other hosts from them, and asks others. */
class SharedFeeds(
    private val link: Link,
    private val clock: Clock,
    private val scope: CoroutineScope
) {
    private val copies = HashMap<String, TableReplica>()
    private val waiting = HashMap<String, ArrayList<Waiting>>()
    private val asked = HashMap<Long, CompletableDeferred<FeedMessage>>()
    private var lastNumber = 0L

    private class Waiting(val from: HostId, val ask: FeedMessage.Request)

    internal fun copy(table: String): TableReplica = copies.getOrPut(table) { TableReplica(clock) }

    /** Takes in what another host says. */
    fun receive(from: HostRef, message: FeedMessage) {
        when (message) {
            is FeedMessage.Request -> answer(from.host, message)
            is FeedMessage.Rows -> asked[message.number]?.complete(message)
            is FeedMessage.Unavailable -> asked[message.number]?.complete(message)
        }
    }

    /** The copy of [table] has changed: those that wait for that are answered. */
    internal fun changed(table: String) {
        val held = waiting[table] ?: return
        val due = held.filter { copy(table).hasNewer(it.ask.revision) }
        held.removeAll(due.toSet())
        due.forEach { link.send(it.from, copy(table).answer(it.ask)) }
    }

    /** Asks [host] for what is newer than [revision]; null if it does not answer in time. */
    internal suspend fun ask(
        host: HostId,
        table: String,
        revision: Long?,
        waitMs: Long
    ): FeedMessage? {
        val number = ++lastNumber
        val answer = CompletableDeferred<FeedMessage>()
        asked[number] = answer
        try {
            link.send(host, FeedMessage.Request(number, table, revision, waitMs))
            return withTimeoutOrNull(waitMs + WAY_MS) { answer.await() }
        } finally {
            asked.remove(number)
        }
    }

    private fun answer(from: HostId, ask: FeedMessage.Request) {
        val copy = copy(ask.table)
        val answersNow = copy.currentRevision == null || copy.hasNewer(ask.revision)
        if (answersNow) return link.send(from, copy.answer(ask))
        val entry = Waiting(from, ask)
        waiting.getOrPut(ask.table) { ArrayList() } += entry
        scope.launch {
            delay(ask.waitMs.coerceIn(0, MOST_WAIT_MS))
            if (waiting[ask.table]?.remove(entry) == true) link.send(from, copy.answer(ask))
        }
    }

    private companion object {
        // Both ways between two hosts, and a busy host's turn.
        const val WAY_MS = 400L
        const val MOST_WAIT_MS = 5_000L
    }
}
