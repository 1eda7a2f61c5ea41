package org.hyssoprack.link.tcp

import kotlinx.serialization.modules.SerializersModule
import org.hyssoprack.common.HostMessage

/** Computes the size of messages on the wire, for measurements. */
class MessageSizes(messages: SerializersModule) {
    private val codec = FrameCodec(messages = messages, maxFrameBytes = Int.MAX_VALUE)

    /** Bytes of [message] including its length prefix; null if its type is not registered. */
    fun bytes(message: HostMessage): Int? =
        codec.encode(Frame.Payload(message)).getOrNull()?.let { it.size + LENGTH_BYTES }

    private companion object {
        const val LENGTH_BYTES = 4
    }
}
