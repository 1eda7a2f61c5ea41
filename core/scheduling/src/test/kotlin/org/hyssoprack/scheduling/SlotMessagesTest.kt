package org.hyssoprack.scheduling

import assertk.assertThat
import assertk.assertions.isEqualTo
import kotlinx.serialization.PolymorphicSerializer
import kotlinx.serialization.json.Json
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank

class SlotMessagesTest {
    private val json = Json { serializersModule = slotMessages }
    private val serializer = PolymorphicSerializer(HostMessage::class)

    @Example
    fun `every message is unchanged by encoding and decoding`() {
        val server = BackendServerId("s")
        val account = ClientAccount("a")
        val tier = TierRank(1)
        val id = RequestId("r")
        val digest = ServerDigest(8, 3, listOf(1, 2), 10.0, 5.0, 2.0, 4, straggling = true)
        val sample = ServerSample(3, 10.0, 5.0, 100, 50, 1)
        val held = HeldLease(LeaseId(5), tier, 2, 1, long = true)
        val cases = listOf<HostMessage>(
            SlotMessage.Ask(server, tier, account, 1, true, 2, 1, 3, 4, 5, id),
            SlotMessage.AskBlock(server, tier, 3, 4),
            SlotMessage.Withdraw(server, tier, account, true, id),
            SlotMessage.Grant(server, LeaseId(5), tier, 1, 2_000, 7, account, id, true, true),
            SlotMessage.Return(server, LeaseId(5), 1),
            SlotMessage.Renew(server, listOf(held), 7, sample),
            SlotMessage.Recall(server, listOf(LeaseId(5))),
            SlotMessage.Preempt(server, LeaseId(5), 1),
            SlotMessage.ShedCheck(server, tier, true, 7, true),
            SlotMessage.ShedVerdict(server, tier, true, 2, 7, 600),
            SlotMessage.Digest(server, digest, 7)
        )
        cases.forEach {
            val text = json.encodeToString(serializer, it)
            assertThat(json.decodeFromString(serializer, text)).isEqualTo(it)
        }
    }
}
