package org.hyssoprack.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank

/**
 * Messages about slots between entry hosts and owners. Each may be lost, late or doubled; none of
 * that may lead to a second dispatch or to a slot that is lost for good.
 *
 * `sentAtMs` is a time on the entry host's clock. The owner echoes it in its answer, so that the
 * entry host can count lease terms and verdicts from a moment that is never too late.
 */
@Serializable
sealed interface SlotMessage : HostMessage {
    /**
     * Entry to owner: registers the waiting requests of one account and kind; repeated as long as
     * some wait, and a later one takes the place of an earlier one.
     *
     * @property count number of requests that wait for a slot of this server.
     * @property urgent for how many of them a running request of a lower tier shall be preempted.
     * @property slackMs time that is left until the latest useful dispatch of the first of them, in
     *   milliseconds.
     * @property waitedMs time since the first of them arrived, in milliseconds.
     * @property resuming the one request that is meant, if it is suspended on this server.
     */
    @Serializable
    @SerialName("sa")
    data class Ask(
        @SerialName("s") val server: BackendServerId,
        @SerialName("t") val tier: TierRank,
        @SerialName("a") val account: ClientAccount,
        @SerialName("h") val share: Int,
        @SerialName("l") val long: Boolean,
        @SerialName("c") val count: Int,
        @SerialName("u") val urgent: Int,
        @SerialName("k") val slackMs: Long,
        @SerialName("w") val waitedMs: Long,
        @SerialName("m") val sentAtMs: Long,
        @SerialName("r") val resuming: RequestId? = null
    ) : SlotMessage

    /** Entry to owner: asks for a block of slots for short requests of a tier that are expected. */
    @Serializable
    @SerialName("sb")
    data class AskBlock(
        @SerialName("s") val server: BackendServerId,
        @SerialName("t") val tier: TierRank,
        @SerialName("c") val count: Int,
        @SerialName("m") val sentAtMs: Long
    ) : SlotMessage

    /** Entry to owner: none of the requests of an [Ask] wait any more. */
    @Serializable
    @SerialName("sw")
    data class Withdraw(
        @SerialName("s") val server: BackendServerId,
        @SerialName("t") val tier: TierRank,
        @SerialName("a") val account: ClientAccount,
        @SerialName("l") val long: Boolean,
        @SerialName("r") val resuming: RequestId? = null
    ) : SlotMessage

    /**
     * Owner to entry: lends [count] slots for [termMs] milliseconds from [askedAtMs].
     *
     * @property account whose registered request the slot is meant for; null for a block.
     * @property resuming the suspended request that the slot is meant for, or null.
     * @property askedAtMs `sentAtMs` of the last ask that the owner has heard.
     * @property long whether the slot counts as one of those that long requests may hold.
     * @property keep whether the holder may keep the slots for further requests of the tier; else
     *   each slot goes back when its request has ended.
     */
    @Serializable
    @SerialName("sg")
    data class Grant(
        @SerialName("s") val server: BackendServerId,
        @SerialName("i") val lease: LeaseId,
        @SerialName("t") val tier: TierRank,
        @SerialName("c") val count: Int,
        @SerialName("p") val termMs: Long,
        @SerialName("m") val askedAtMs: Long,
        @SerialName("a") val account: ClientAccount? = null,
        @SerialName("r") val resuming: RequestId? = null,
        @SerialName("l") val long: Boolean = false,
        @SerialName("k") val keep: Boolean = false
    ) : SlotMessage

    /**
     * Entry to owner: of this lease the holder now keeps only [held] slots. The number of held slots
     * never grows during the life of a lease, so the lowest number heard is the right one.
     */
    @Serializable
    @SerialName("sr")
    data class Return(
        @SerialName("s") val server: BackendServerId,
        @SerialName("i") val lease: LeaseId,
        @SerialName("c") val held: Int
    ) : SlotMessage

    /** Entry to owner: keeps leases alive, and reports what was measured on their server. */
    @Serializable
    @SerialName("sn")
    data class Renew(
        @SerialName("s") val server: BackendServerId,
        @SerialName("l") val leases: List<HeldLease>,
        @SerialName("m") val sentAtMs: Long,
        @SerialName("p") val sample: ServerSample? = null
    ) : SlotMessage

    /**
     * Owner to entry: give back the unused slots of these leases now, and the others when their
     * requests have ended. A lease that the entry does not hold is answered by a [Return] of it.
     */
    @Serializable
    @SerialName("sc")
    data class Recall(
        @SerialName("s") val server: BackendServerId,
        @SerialName("l") val leases: List<LeaseId>
    ) : SlotMessage

    /** Owner to entry: preempt requests that run on this lease until it holds [keep] slots. */
    @Serializable
    @SerialName("sp")
    data class Preempt(
        @SerialName("s") val server: BackendServerId,
        @SerialName("i") val lease: LeaseId,
        @SerialName("k") val keep: Int
    ) : SlotMessage

    /**
     * Entry to owner: how many slots do lower tiers hold there that requests of [tier] could use?
     *
     * @property binding whether the verdict shall allow shedding.
     */
    @Serializable
    @SerialName("sq")
    data class ShedCheck(
        @SerialName("s") val server: BackendServerId,
        @SerialName("t") val tier: TierRank,
        @SerialName("l") val long: Boolean,
        @SerialName("m") val sentAtMs: Long,
        @SerialName("b") val binding: Boolean
    ) : SlotMessage

    /**
     * Owner to entry: answer to [ShedCheck]. If [lowerTierSlots] is 0, it stays so for [termMs]
     * milliseconds from [checkedAtMs]: until then the owner lends no slot to a lower tier that
     * requests of [tier] could use.
     */
    @Serializable
    @SerialName("sv")
    data class ShedVerdict(
        @SerialName("s") val server: BackendServerId,
        @SerialName("t") val tier: TierRank,
        @SerialName("l") val long: Boolean,
        @SerialName("w") val lowerTierSlots: Int,
        @SerialName("m") val checkedAtMs: Long,
        @SerialName("p") val termMs: Long
    ) : SlotMessage

    /**
     * Owner to entry: state of a backend server, as the answer to the [Renew] of [renewedAtMs], or to
     * an [Ask] that found no slot if that is null.
     */
    @Serializable
    @SerialName("sd")
    data class Digest(
        @SerialName("s") val server: BackendServerId,
        @SerialName("d") val state: ServerDigest,
        @SerialName("m") val renewedAtMs: Long? = null
    ) : SlotMessage
}
