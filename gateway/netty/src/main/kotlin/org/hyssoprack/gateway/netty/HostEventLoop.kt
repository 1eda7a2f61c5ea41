package org.hyssoprack.gateway.netty

import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher

/** The one thread that owns a host's sockets and its serving state. */
class HostEventLoop {
    private val group = NioEventLoopGroup(1)

    val eventLoop: EventLoop = group.next()

    /** Runs coroutines on the loop's thread. */
    val dispatcher: CoroutineDispatcher = eventLoop.asCoroutineDispatcher()
}
