package org.hyssoprack.gateway.netty

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.netty.channel.nio.NioEventLoop
import java.nio.channels.spi.SelectorProvider
import kotlin.coroutines.CoroutineContext
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.suspendCancellableCoroutine

/**
 * Waits for Ktor's sockets on a Netty event loop, so that they need no thread of their own. A
 * selector with its own thread costs two thread switches for each message between hosts.
 */
internal class EventLoopSelector(
    private val eventLoop: NioEventLoop,
    dispatcher: CoroutineDispatcher
) : SelectorManager {
    private val job: Job = SupervisorJob()
    private val registrations = HashMap<Selectable, SocketRegistration>()

    override val coroutineContext: CoroutineContext = job + dispatcher

    override val provider: SelectorProvider = SelectorProvider.provider()

    override suspend fun select(selectable: Selectable, interest: SelectInterest) {
        suspendCancellableCoroutine { continuation ->
            selectable.suspensions.addSuspension(interest, continuation)
            continuation.invokeOnCancellation { selectable.suspensions.removeSuspension(interest) }
            onEventLoop { register(selectable, interest) }
        }
    }

    override fun notifyClosed(selectable: Selectable) {
        // Also wakes the event loop up, which releases the closed socket.
        eventLoop.execute { registrations.remove(selectable)?.close() }
    }

    override fun close() = coroutineContext.cancel()

    private fun register(selectable: Selectable, interest: SelectInterest) {
        val registration =
            registrations.getOrPut(selectable) { SocketRegistration(selectable, eventLoop) }
        if (!registration.add(interest)) registrations.remove(selectable)
    }

    private fun onEventLoop(action: () -> Unit) =
        if (eventLoop.inEventLoop()) action() else eventLoop.execute(action)
}
