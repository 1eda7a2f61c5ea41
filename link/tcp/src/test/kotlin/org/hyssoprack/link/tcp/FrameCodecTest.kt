package org.hyssoprack.link.tcp

import arrow.core.left
import arrow.core.right
import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.NetworkAddress

class FrameCodecTest {
    private val codec = FrameCodec(messages = notes, maxFrameBytes = 100)

    private val frames = listOf(
        Frame.Heartbeat,
        Frame.Payload(Note(number = 7, text = "text")),
        Frame.Handshake(
            Hello(
                version = 1,
                ref = HostRef(HostId("h1"), Incarnation(1_700_000_000_000)),
                address = NetworkAddress("127.0.0.1", 7_000)
            )
        )
    )

    @Example
    fun `every kind of frame is decoded to what was encoded`() {
        for (frame in frames) {
            val bytes = codec.encode(frame).getOrNull() ?: error("not encoded: $frame")
            assertThat(codec.decode(bytes)).isEqualTo(frame.right())
        }
    }

    private data class BadCase(val name: String, val bytes: ByteArray, val fault: FrameFault)

    private val badCases = listOf(
        BadCase("nothing", byteArrayOf(), FrameFault.EMPTY),
        BadCase("unknown kind", byteArrayOf(9, 1), FrameFault.UNKNOWN_KIND),
        BadCase("no CBOR", byteArrayOf(2, -1, -1), FrameFault.NOT_DECODABLE),
        BadCase("cut off", byteArrayOf(2, 0x82.toByte(), 0x61), FrameFault.NOT_DECODABLE),
        BadCase("hello of another shape", byteArrayOf(1, 0x01), FrameFault.NOT_DECODABLE),
        BadCase(
            "lists within each other in an unknown field",
            byteArrayOf(1, MAP_OF_ONE, TEXT_OF_ONE, 'x'.code.toByte()) +
                ByteArray(100_000) { LIST_OF_ONE },
            FrameFault.NOT_DECODABLE
        ),
        BadCase(
            "a list of more elements than there are bytes",
            byteArrayOf(2, LONG_LIST) + byteArrayOf(0x7f, -1, -1, -1, -1, -1, -1, -1),
            FrameFault.NOT_DECODABLE
        )
    )

    @Example
    fun `bad bytes give a fault`() {
        for (case in badCases) {
            assertThat(codec.decode(case.bytes), name = case.name).isEqualTo(case.fault.left())
        }
    }

    @Example
    fun `messages that are too large or not registered are not encoded`() {
        val large = Frame.Payload(Note(number = 1, text = "x".repeat(200)))
        assertThat(codec.encode(large)).isEqualTo(FrameFault.TOO_LARGE.left())
        val other = Frame.Payload(OtherNote(number = 1))
        assertThat(codec.encode(other)).isEqualTo(FrameFault.NOT_ENCODABLE.left())
    }

    @Property
    fun `random bytes never throw`(@ForAll bytes: ByteArray) {
        codec.decode(bytes)
        codec.decode(byteArrayOf(2) + bytes)
    }

    private companion object {
        // Initial bytes of CBOR items.
        const val LIST_OF_ONE = 0x81.toByte()
        const val MAP_OF_ONE = 0xa1.toByte()
        const val TEXT_OF_ONE = 0x61.toByte()

        /** A list whose length follows in eight bytes. */
        const val LONG_LIST = 0x9b.toByte()
    }
}
