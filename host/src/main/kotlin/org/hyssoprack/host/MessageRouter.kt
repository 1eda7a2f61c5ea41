package org.hyssoprack.host

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq
import org.hyssoprack.link.Link
import org.hyssoprack.link.ReceivedMessage
import org.hyssoprack.membership.MemberMessage
import org.hyssoprack.membership.Membership
import org.hyssoprack.scheduling.SlotMessage
import org.hyssoprack.settings.BundleHolder
import org.hyssoprack.settings.BundleMessage

/** Dispatches each message received from a peer to the component that handles it. */
class MessageRouter(
    private val link: Link,
    private val membership: Membership,
    private val bundles: BundleHolder,
    private val entry: EntryTask,
    private val owner: OwnerTask,
    private val retries: RetryCoordinator,
    private val watcher: BackendWatcher,
    private val log: EventLog
) {
    /** Starts the task in [scope]. */
    fun start(scope: CoroutineScope): Job = scope.launch {
        for (received in link.incoming) route(this, received)
    }

    private fun route(scope: CoroutineScope, received: ReceivedMessage) {
        val from = received.from
        when (val message = received.message) {
            is MemberMessage -> membership.receive(from, message)
            is SlotMessage -> routeSlots(received, message)
            is BundleMessage -> bundles.receive(from, message)
            is RetryMessage -> scope.launch { retries.receive(from, message) }
            is CacheMessage -> message.events.forEach {
                entry.cacheChanged(message.server, it.prefixHash, it.stored)
            }
            else -> log.event(
                "message-unknown",
                "from" eq from,
                "type" eq message::class.simpleName
            )
        }
    }

    private fun routeSlots(received: ReceivedMessage, message: SlotMessage) {
        val from = received.from
        when (message) {
            is SlotMessage.Ask -> {
                watcher.recordUse(message.server, from.host)
                owner.receive(from, message)
            }

            is SlotMessage.Renew -> {
                watcher.recordUse(message.server, from.host)
                owner.receive(from, message)
            }

            is SlotMessage.AskBlock,
            is SlotMessage.Withdraw,
            is SlotMessage.Return,
            is SlotMessage.ShedCheck
            -> owner.receive(from, message)

            is SlotMessage.Grant,
            is SlotMessage.Recall,
            is SlotMessage.Preempt,
            is SlotMessage.ShedVerdict,
            is SlotMessage.Digest
            -> entry.receive(from, message)
        }
    }
}
