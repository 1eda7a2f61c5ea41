package org.hyssoprack.gateway.forwarding.slots

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.polymorphic
import kotlinx.serialization.modules.subclass
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.ServerInstance
import org.hyssoprack.serving.fleet.ServerLimit
import org.hyssoprack.serving.limits.PartReport
import org.hyssoprack.serving.limits.SuspectPart
import org.hyssoprack.serving.placement.PeerLoad
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.sharing.SharingState

/**
 * Messages between the hosts that serve callers and the slot owner. Times are in milliseconds from
 * the moment of sending, since hosts' clocks differ. A number identifies one request of one
 * incarnation of a host.
 */
@Serializable
sealed interface SlotMessage : HostMessage {
    /**
     * Requests a slot.
     *
     * @property account account whose quota is to be charged with [quota]; null if it was charged
     *   before.
     * @property ageMs time since the caller's request arrived.
     * @property targetMs time from arrival within which the response counts as on time.
     * @property giveUpMs time after which the request stops waiting for a slot.
     * @property endMs time until the complete response is due.
     * @property patienceMs time from arrival after which the caller disconnects unless it received
     *   a first event.
     * @property tried servers that have already failed the request.
     * @property excludedServers servers that the sender must not use.
     * @property isStarted whether a server has begun the stream that answers it.
     * @property suspectParts parts of the prompt that other requests may share, in order, and the
     *   request's own part while any part is suspected to crash servers.
     * @property caller account of the caller, with which the request shares the capacity, whether
     *   or not a quota is to be charged; null from a host of an older build.
     * @property route route of the request; null from a host of an older build.
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
        @SerialName("y") val excludedServers: Set<BackendServerId> = emptySet(),
        @SerialName("h") val isStarted: Boolean = false,
        @SerialName("c") val suspectParts: List<PromptPartId> = emptyList(),
        @SerialName("k") val caller: ClientAccount? = null,
        @SerialName("u") val route: RouteName? = null
    ) : SlotMessage {
        val work: WorkEstimate get() = WorkEstimate(
            promptTokens = promptTokens,
            outputTokens = outputTokens
        )
    }

    /** The request waits for a slot. */
    @Serializable
    @SerialName("sq")
    data class Queued(@SerialName("n") val number: Long) : SlotMessage

    /**
     * The request is granted a slot of [server].
     *
     * @property promptTokens prompt tokens that the server has to read before the request's first
     *   event.
     * @property isLimitKept whether the owner counted the request against a rate limit of the server.
     * @property isTrial whether the request has a blocked part and shows whether it still crashes
     *   servers.
     */
    @Serializable
    @SerialName("sg")
    data class Granted(
        @SerialName("n") val number: Long,
        @SerialName("s") val server: BackendServerId,
        @SerialName("p") val promptTokens: Int = 0,
        @SerialName("l") val isLimitKept: Boolean = false,
        @SerialName("t") val isTrial: Boolean = false
    ) : SlotMessage

    /** The request is rejected; [code] is the number of a result code. */
    @Serializable
    @SerialName("sr")
    data class Refused(
        @SerialName("n") val number: Long,
        @SerialName("c") val code: Int,
        @SerialName("d") val detail: String,
        @SerialName("t") val retryAfterMs: Long? = null
    ) : SlotMessage

    /** The request is cancelled, whatever its state; its quota is refunded. */
    @Serializable
    @SerialName("sw")
    data class Cancelled(@SerialName("n") val number: Long) : SlotMessage

    /**
     * The first event of the request came [firstMs] after it was sent.
     *
     * @property pacePercent pace that the server has just reported; null if it reports none.
     */
    @Serializable
    @SerialName("sp")
    data class PromptRead(
        @SerialName("n") val number: Long,
        @SerialName("f") val firstMs: Long,
        @SerialName("p") val pacePercent: Int? = null
    ) : SlotMessage

    /** The server has sent nothing for the request for longer than expected. */
    @Serializable
    @SerialName("si")
    data class ServerStalled(@SerialName("n") val number: Long) : SlotMessage

    /** The slot is released. */
    @Serializable
    @SerialName("se")
    data class Ended(@SerialName("n") val number: Long, @SerialName("r") val result: SlotResult) :
        SlotMessage

    /** Refunds the quota of a request that did not run at all. */
    @Serializable
    @SerialName("sb")
    data class Refund(
        @SerialName("a") val account: ClientAccount,
        @SerialName("q") val quota: Double
    ) : SlotMessage

    /**
     * The sender's running requests and quota usage, sent at intervals to its slot owner.
     *
     * @property used recent quota usage by account.
     * @property usedShares used shares of quotas at the previous owner; only in the first report to
     *   an owner.
     * @property leaving server instances that announced their shutdown.
     * @property limits rate limits that servers named, as far as the owner may not know them; all in
     *   the first report to an owner.
     * @property parts what the receiver may not know of parts of prompts that may crash servers.
     * @property sharing how the previous owner shared the slots; only in the first report to an
     *   owner.
     * @property isLast whether the sender uses another owner, or none, from now on.
     * @property waiting numbers of the requests that wait for the receiver's decision.
     * @property lastNumber highest number of a request at the time of the report; 0 from a host of an
     *   older build.
     */
    @Serializable
    @SerialName("st")
    data class Report(
        @SerialName("r") val running: List<RunningSlot> = emptyList(),
        @SerialName("u") val used: Map<ClientAccount, Double> = emptyMap(),
        @SerialName("t") val usedShares: Map<ClientAccount, Double> = emptyMap(),
        @SerialName("l") val leaving: Set<ServerInstance> = emptySet(),
        @SerialName("m") val limits: List<ServerLimit> = emptyList(),
        @SerialName("c") val parts: PartReport? = null,
        @SerialName("z") val isLast: Boolean = false,
        @SerialName("w") val waiting: Set<Long> = emptySet(),
        @SerialName("n") val lastNumber: Long = 0,
        @SerialName("h") val sharing: List<SharingState> = emptyList()
    ) : SlotMessage

    /** Requests a [Report] from a host that has not sent one to this owner. */
    @Serializable
    @SerialName("sf")
    data object ReportRequest : SlotMessage

    /** The sender cannot grant slots now. */
    @Serializable
    @SerialName("sx")
    data object NotReady : SlotMessage

    /**
     * Data that hosts need if the owner stops responding; it sends them at intervals to all hosts
     * that report to it.
     *
     * @property usedShares used share of accounts' quotas; 0 for accounts that are left out.
     * @property loads load of all hosts on each server.
     * @property limits rate limits that the owner keeps.
     * @property parts what the owner knows of parts of prompts that may crash servers; null from an
     *   owner of an older build.
     * @property claim the owner's claim; null if most hosts do not report to it.
     * @property sharing how the owner shares the slots; sent to a few hosts only.
     */
    @Serializable
    @SerialName("sn")
    data class OwnerStatus(
        @SerialName("t") val usedShares: Map<ClientAccount, Double> = emptyMap(),
        @SerialName("o") val loads: Map<BackendServerId, PeerLoad> = emptyMap(),
        @SerialName("l") val leaving: Set<ServerInstance> = emptySet(),
        @SerialName("m") val limits: List<ServerLimit> = emptyList(),
        @SerialName("c") val parts: List<SuspectPart>? = null,
        @SerialName("k") val claim: OwnerClaim? = null,
        @SerialName("h") val sharing: List<SharingState> = emptyList()
    ) : SlotMessage

    /**
     * Names the slot owner that most hosts report to. The owner sends it to hosts to which it has
     * sent nothing else for a short time, and a host passes it on to those that take it for the
     * owner.
     *
     * @property term increases with each change of the owner; 0 from an owner that most hosts do not
     *   report to.
     */
    @Serializable
    @SerialName("so")
    data class OwnerClaim(
        @SerialName("h") val owner: HostRef,
        @SerialName("t") val term: Long = 0
    ) : SlotMessage {
        override val sinceRevision: Int get() = 1
    }

    /** Asks another host when it last received a message of [owner]. */
    @Serializable
    @SerialName("sh")
    data class OwnerCheck(@SerialName("h") val owner: HostId) : SlotMessage {
        override val sinceRevision: Int get() = 1
    }

    /**
     * Replies to an [OwnerCheck].
     *
     * @property silentMs time since the last message of [owner]; null if the sender does not use it.
     */
    @Serializable
    @SerialName("sl")
    data class OwnerSilence(
        @SerialName("h") val owner: HostId,
        @SerialName("t") val silentMs: Long? = null
    ) : SlotMessage {
        override val sinceRevision: Int get() = 1
    }
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
        subclass(SlotMessage.OwnerClaim::class)
        subclass(SlotMessage.OwnerCheck::class)
        subclass(SlotMessage.OwnerSilence::class)
    }
}
