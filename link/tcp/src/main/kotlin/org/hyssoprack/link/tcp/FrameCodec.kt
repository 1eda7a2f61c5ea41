package org.hyssoprack.link.tcp

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.PolymorphicSerializer
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.modules.SerializersModule
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.catchAny

/**
 * Encodes frames as one byte for the kind and a CBOR body, and decodes them.
 *
 * @param messages registers all subclasses of [HostMessage].
 */
@OptIn(ExperimentalSerializationApi::class)
internal class FrameCodec(messages: SerializersModule, private val maxFrameBytes: Int) {
    private val cbor = Cbor {
        serializersModule = messages
        encodeDefaults = false
        ignoreUnknownKeys = true
        useDefiniteLengthEncoding = true
    }
    private val payloads = PolymorphicSerializer(HostMessage::class)

    /** Encodes [frame], without the length prefix. */
    fun encode(frame: Frame): Either<FrameFault, ByteArray> {
        val bytes = Either.catch { bytesOf(frame) }
            .fold({ return FrameFault.NOT_ENCODABLE.left() }, { it })
        return if (bytes.size > maxFrameBytes) FrameFault.TOO_LARGE.left() else bytes.right()
    }

    /** Decodes the result of [encode]. */
    fun decode(bytes: ByteArray): Either<FrameFault, Frame> {
        if (bytes.isEmpty()) return FrameFault.EMPTY.left()
        val body = bytes.copyOfRange(1, bytes.size)
        return when (bytes[0]) {
            HEARTBEAT -> Frame.Heartbeat.right()
            HELLO -> read { Frame.Handshake(cbor.decodeFromByteArray(Hello.serializer(), body)) }
            PAYLOAD -> read { Frame.Payload(cbor.decodeFromByteArray(payloads, body)) }
            else -> FrameFault.UNKNOWN_KIND.left()
        }
    }

    private fun bytesOf(frame: Frame): ByteArray = when (frame) {
        Frame.Heartbeat -> byteArrayOf(HEARTBEAT)
        is Frame.Handshake ->
            byteArrayOf(HELLO) + cbor.encodeToByteArray(Hello.serializer(), frame.hello)
        is Frame.Payload -> byteArrayOf(PAYLOAD) + cbor.encodeToByteArray(payloads, frame.message)
    }

    private fun read(decode: () -> Frame): Either<FrameFault, Frame> =
        catchAny { decode() }.mapLeft { FrameFault.NOT_DECODABLE }

    private companion object {
        const val HEARTBEAT: Byte = 0
        const val HELLO: Byte = 1
        const val PAYLOAD: Byte = 2
    }
}
