package org.hyssoprack.gateway.netty

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import kotlin.coroutines.resume
import kotlinx.coroutines.suspendCancellableCoroutine

/** Suspends until the operation completes; returns its channel or throws the cause of failure. */
internal suspend fun ChannelFuture.awaitChannel(): Channel {
    val cause = suspendCancellableCoroutine { waiting ->
        addListener { if (waiting.isActive) waiting.resume(it.cause()) }
        waiting.invokeOnCancellation { channel().close() }
    }
    if (cause != null) throw cause
    return channel()
}
