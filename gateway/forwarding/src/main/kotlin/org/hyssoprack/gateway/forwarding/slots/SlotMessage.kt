package org.hyssoprack.gateway.forwarding.slots

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.polymorphic
import kotlinx.serialization.modules.subclass
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.ServerInstance
import org.hyssoprack.serving.placement.PeerLoad
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.placement.WorkEstimate

/**
 * Messages between the hosts that serve callers and the one that lends slots. Times are in
 * milliseconds from the moment of sending, since hosts' clocks differ. Numbers name one ask of one
 * host's run.
 */
@Serializable
sealed interface SlotMessage : HostMessage {
    /**
     * Asks for a slot.
     *
     * @property account whose quota is to be charged with [quota]; null if it was charged before.
     * @property ageMs time since the caller's request arrived.
     * @property targetMs time from arrival within which the answer counts as in time.
     * @property giveUpMs time until the wait for a slot ends.
     * @property endMs time until the whole answer must be there.
     * @property patienceMs time from arrival after which the caller leaves without a first event.
     * @property tried servers that have failed the request already.
     * @property excludedServers servers to which the sender must send nothing.
     */
    @Serializable
    @SerialName("sa")
    data class Request(
        @SerialName("n") val number: Long,
        @SerialName("s") val service: ServiceId,
        @SerialName("d") val domain: FailureDomain,
        @SerialName("a") val account: ClientAccount? = null,
        @SerialName("q") val quota: Double = 0.0,
        @SerialName("p") val promptTokens: Int = 0,
        @SerialName("o") val outputTokens: Int = 0,
        @SerialName("r") val rank: Int,
        @SerialName("b") val ageMs: Long,
        @SerialName("t") val targetMs: Long,
        @SerialName("g") val giveUpMs: Long,
        @SerialName("e") val endMs: Long,
        @SerialName("m") val patienceMs: Long,
        @SerialName("x") val tried: Set<BackendServerId> = emptySet(),
        @SerialName("y") val excludedServers: Set<BackendServerId> = emptySet()
    ) : SlotMessage {
        val work: WorkEstimate get() = WorkEstimate(
            promptTokens = promptTokens,
            outputTokens = outputTokens
        )
    }

    /** The ask waits for a slot. */
    @Serializable
    @SerialName("sq")
    data class Queued(@SerialName("n") val number: Long) : SlotMessage

    /**
     * The ask has a slot of [server].
     *
     * @property promptTokens tokens that the server has to read up to the request's first event.
     */
    @Serializable
    @SerialName("sg")
    data class Granted(
        @SerialName("n") val number: Long,
        @SerialName("s") val server: BackendServerId,
        @SerialName("p") val promptTokens: Int = 0
    ) : SlotMessage

    /** The ask gets no slot; [code] is the number of a result code. */
    @Serializable
    @SerialName("sr")
    data class Refused(
        @SerialName("n") val number: Long,
        @SerialName("c") val code: Int,
        @SerialName("d") val detail: String,
        @SerialName("t") val retryAfterMs: Long? = null
    ) : SlotMessage

    /** The ask is void, whatever has become of it; its quota goes back. */
    @Serializable
    @SerialName("sw")
    data class Cancelled(@SerialName("n") val number: Long) : SlotMessage

    /** The first event of the request came [firstMs] after it was sent. */
    @Serializable
    @SerialName("sp")
    data class PromptRead(@SerialName("n") val number: Long, @SerialName("f") val firstMs: Long) :
        SlotMessage

    /** The server sends the request nothing for longer than it should. */
    @Serializable
    @SerialName("si")
    data class ServerStalled(@SerialName("n") val number: Long) : SlotMessage

    /** The slot is free again. */
    @Serializable
    @SerialName("se")
    data class Ended(@SerialName("n") val number: Long, @SerialName("r") val result: SlotResult) :
        SlotMessage

    /** Gives back quota of a request that did not run at all. */
    @Serializable
    @SerialName("sb")
    data class Refund(
        @SerialName("a") val account: ClientAccount,
        @SerialName("q") val quota: Double
    ) : SlotMessage

    /**
     * What the sender has in progress and has used, sent at intervals to the host that it asks.
     *
     * @property used quota used lately by account.
     * @property usedShares shares of quotas that were taken at the owner before, in the first report.
     * @property leaving runs of servers that have said that they leave.
     */
    @Serializable
    @SerialName("st")
    data class Report(
        @SerialName("r") val running: List<RunningSlot> = emptyList(),
        @SerialName("u") val used: Map<ClientAccount, Double> = emptyMap(),
        @SerialName("t") val usedShares: Map<ClientAccount, Double> = emptyMap(),
        @SerialName("l") val leaving: Set<ServerInstance> = emptySet()
    ) : SlotMessage

    /** Asks a host that is not known for its [Report]. */
    @Serializable
    @SerialName("sf")
    data object ReportRequest : SlotMessage

    /** The sender cannot lend slots now. */
    @Serializable
    @SerialName("sx")
    data object NotReady : SlotMessage

    /**
     * What hosts need if the sender no longer answers, sent at intervals to all that report to it.
     *
     * @property usedShares share of accounts' quotas that is taken; nothing is, where it is left out.
     * @property loads what all hosts have in progress at each server.
     */
    @Serializable
    @SerialName("sn")
    data class OwnerStatus(
        @SerialName("t") val usedShares: Map<ClientAccount, Double> = emptyMap(),
        @SerialName("o") val loads: Map<BackendServerId, PeerLoad> = emptyMap(),
        @SerialName("l") val leaving: Set<ServerInstance> = emptySet()
    ) : SlotMessage
}

/** Registers [SlotMessage] for the link between hosts. */
val slotMessages: SerializersModule = SerializersModule {
    polymorphic(HostMessage::class) {
        subclass(SlotMessage.Request::class)
        subclass(SlotMessage.Queued::class)
        subclass(SlotMessage.Granted::class)
        subclass(SlotMessage.Refused::class)
        subclass(SlotMessage.Cancelled::class)
        subclass(SlotMessage.PromptRead::class)
        subclass(SlotMessage.ServerStalled::class)
        subclass(SlotMessage.Ended::class)
        subclass(SlotMessage.Refund::class)
        subclass(SlotMessage.Report::class)
        subclass(SlotMessage.ReportRequest::class)
        subclass(SlotMessage.NotReady::class)
        subclass(SlotMessage.OwnerStatus::class)
    }
}
