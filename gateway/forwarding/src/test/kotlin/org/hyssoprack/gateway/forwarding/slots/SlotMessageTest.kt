package org.hyssoprack.gateway.forwarding.slots

import assertk.assertThat
import assertk.assertions.isEqualTo
import kotlinx.serialization.PolymorphicSerializer
import kotlinx.serialization.json.Json
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.ServerInstance
import org.hyssoprack.serving.limits.PartAsked
import org.hyssoprack.serving.limits.PartBegun
import org.hyssoprack.serving.limits.PartCrash
import org.hyssoprack.serving.limits.PartReport
import org.hyssoprack.serving.limits.SuspectCrash
import org.hyssoprack.serving.limits.SuspectPart
import org.hyssoprack.serving.placement.SlotOutcome
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.sharing.ExpectedReturns
import org.hyssoprack.serving.sharing.ReturnKey
import org.hyssoprack.serving.sharing.SharingState

class SlotMessageTest {
    private val format = Json {
        serializersModule = slotMessages
        ignoreUnknownKeys = true
    }
    private val serializer = PolymorphicSerializer(HostMessage::class)
    private val service = ServiceId("s")
    private val account = ClientAccount("bakery")
    private val route = RouteName("bread")
    private val part = PromptPartId("5c1e")
    private val instance =
        ServerInstance(BackendServerId("b"), NetworkAddress("10.0.0.1", 80), bornMs = 7)
    private val request = SlotMessage.Request(
        number = 1,
        service = service,
        domain = FailureDomain("z"),
        rank = 0,
        ageMs = 0,
        targetMs = 400,
        giveUpMs = 5_000,
        endMs = 10_000,
        patienceMs = 10_000
    )

    @Example
    fun `messages of the build before are read without what they lack`() {
        class Case(val text: String, val message: SlotMessage)
        val cases = listOf(
            Case(REQUEST_BEFORE, request),
            Case("""{"type":"sg","n":1,"s":"b"}""", SlotMessage.Granted(1, BackendServerId("b"))),
            Case("""{"type":"sp","n":1,"f":20}""", SlotMessage.PromptRead(1, firstMs = 20)),
            Case("""{"type":"se","n":1,"r":{"o":"FAILED"}}""", SlotMessage.Ended(1, FAILED)),
            Case("""{"type":"st"}""", SlotMessage.Report()),
            Case("""{"type":"sn"}""", SlotMessage.OwnerStatus(parts = null))
        )
        for (case in cases) {
            assertThat(format.decodeFromString(serializer, case.text), case.text)
                .isEqualTo(case.message)
            // The build before reads a message that says nothing of parts as its own.
            val fields = format.parseToJsonElement(case.text)
            val sent = format.encodeToJsonElement(serializer, case.message)
            assertThat(sent, case.text).isEqualTo(fields)
        }
    }

    @Example
    fun `messages with all that is told of parts and shares arrive as they were sent`() {
        val crash = PartCrash(service, instance, version = "v1", parts = listOf(part), ageMs = 3)
        val suspect = SuspectPart(
            service = service,
            version = "v1",
            part = part,
            crashes = listOf(SuspectCrash(instance, 3, explainedBy = part, isTogether = true)),
            blockedAgeMs = 2,
            trials = 1,
            isTrialDue = true,
            hasBegun = true
        )
        val report = PartReport(
            crashes = listOf(crash),
            begun = listOf(PartBegun(service, "v1", part, ageMs = 4)),
            asked = listOf(PartAsked(service, part, ageMs = 5)),
            suspects = listOf(suspect)
        )
        val sharing = SharingState(
            service = service,
            leads = mapOf(1 to mapOf(account to 20.5)),
            expected = listOf(ExpectedReturns(ReturnKey(account, route, rank = 1), inMs = 400)),
            ageMs = 5
        )
        val messages = listOf(
            request.copy(suspectParts = listOf(part, PromptPartId("aa"))),
            SlotMessage.Granted(number = 1, server = BackendServerId("b"), isTrial = true),
            SlotMessage.Report(parts = report),
            SlotMessage.OwnerStatus(parts = listOf(suspect)),
            SlotMessage.OwnerStatus(parts = emptyList()),
            SlotMessage.PromptRead(1, firstMs = 20, pacePercent = 140),
            SlotMessage.Ended(1, FAILED.copy(isConnectionLost = true, pacePercent = 140)),
            request.copy(caller = account, route = route),
            SlotMessage.Report(sharing = listOf(sharing)),
            SlotMessage.OwnerStatus(sharing = listOf(sharing))
        )
        for (message in messages) {
            val text = format.encodeToString(serializer, message)
            assertThat(format.decodeFromString(serializer, text), text).isEqualTo(message)
        }
    }

    @Example
    fun `fields of a later build are ignored`() {
        val text = """{"type":"sn","c":[{"n":"s","p":"5c1e","new":1}],"new":{"x":1}}"""
        assertThat(format.decodeFromString(serializer, text))
            .isEqualTo(SlotMessage.OwnerStatus(parts = listOf(SuspectPart(service, part = part))))
    }

    private companion object {
        val FAILED = SlotResult(SlotOutcome.FAILED)
        const val REQUEST_BEFORE =
            """{"type":"sa","n":1,"s":"s","d":"z","r":0,"b":0,"t":400,"g":5000,"e":10000,"m":10000}"""
    }
}
