package org.hyssoprack.membership

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isLessThan
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.PolymorphicSerializer
import kotlinx.serialization.cbor.Cbor
import net.jqwik.api.Example
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostMessage

@OptIn(ExperimentalSerializationApi::class)
class MemberMessageSizeTest {
    private val cbor = Cbor {
        serializersModule = memberMessages
        useDefiniteLengthEncoding = true
    }
    private val serializer = PolymorphicSerializer(HostMessage::class)
    private val settings = MembershipSettings()
    private val status = MemberStatus(refutation = 3, load = 55, bundle = BundleVersion(90_000))
    private val digest = MemberDigest(
        host = SimulatedNetwork.host(1_199),
        incarnation = SimulatedNetwork.member(1, incarnation = 1_700_000_000_000).ref.incarnation,
        state = MemberState.SUSPECT,
        refutation = 2
    )
    private val full = digest.copy(profile = MemberRow.of(SimulatedNetwork.member(1_199)).profile)

    private val messages = listOf(
        MemberMessage.Ping(7, status, listOf(digest)),
        MemberMessage.IndirectPing(7, digest.host, status),
        MemberMessage.Pong(7, status, digest.ref, listOf(full)),
        MemberMessage.Join(status, listOf(full)),
        MemberMessage.Compare(status, listOf(1, -2)),
        MemberMessage.Differ(status, 4, listOf(1), listOf(full)),
        MemberMessage.Sync(status, listOf(digest, full))
    )

    @Example
    fun `every message survives an encoding round trip`() {
        for (message in messages) {
            val read = cbor.decodeFromByteArray(serializer, encode(message))
            assertThat(read).isEqualTo(message)
        }
    }

    @Example
    fun `the gossiped updates in one message stay within the size limit`() {
        val queue = GossipQueue(settings)
        repeat(300) {
            queue.add(
                (
                    if (it % 2 ==
                        0
                    ) {
                        digest
                    } else {
                        full
                    }
                    ).copy(host = SimulatedNetwork.host(it))
            )
        }
        val empty = encode(MemberMessage.Ping(1, status)).size
        repeat(20) {
            val updates = queue.take(members = 1_200)
            val size = encode(MemberMessage.Ping(1, status, updates)).size - empty
            assertThat(size).isLessThan(settings.maxGossipBytes + LIST_BYTES)
        }
    }

    private fun encode(message: HostMessage) = cbor.encodeToByteArray(serializer, message)

    private companion object {
        const val LIST_BYTES = 16
    }
}
