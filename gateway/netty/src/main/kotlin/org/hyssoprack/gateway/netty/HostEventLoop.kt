package org.hyssoprack.gateway.netty

import io.ktor.network.selector.SelectorManager
import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoop
import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher

/** Event loop of a host: a single thread that owns the sockets and the serving state. */
class HostEventLoop {
    private val group = NioEventLoopGroup(1)

    val eventLoop: EventLoop = group.next()

    /** Runs coroutines on the event loop's thread. */
    val dispatcher: CoroutineDispatcher = eventLoop.asCoroutineDispatcher()

    /** Returns a selector that waits for Ktor's sockets on the event loop's thread. */
    fun selector(): SelectorManager = EventLoopSelector(eventLoop as NioEventLoop, dispatcher)
}
