package org.hyssoprack.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank

/**
 * Messages about slots between entry hosts and owners. Messages may be lost, delayed or duplicated;
 * none of this may lead to a second dispatch or to a slot that is never freed.
 *
 * `sentAtMs` is a time on the entry host's clock. The owner echoes it in its answer, and the entry
 * host counts the terms of leases and verdicts from it. As it precedes the owner's answer, terms
 * never end later on the entry host than on the owner.
 */
@Serializable
sealed interface SlotMessage : HostMessage {
    /**
     * Entry to owner: registers the waiting requests of one client account and kind. Repeated while
     * some of them wait; a later message replaces an earlier one.
     *
     * @property count number of requests that wait for a slot of this server.
     * @property urgent number of them for which a request of a lower tier shall be preempted.
     * @property slackMs shortest time until the latest useful dispatch of one of them, in
     *   milliseconds.
     * @property waitedMs time since the first of them arrived, in milliseconds.
     * @property resuming the suspended request that waits to be resumed on this server; null
     *   otherwise.
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

    /** Entry to owner: requests a block of slots for expected short requests of a tier. */
    @Serializable
    @SerialName("sb")
    data class AskBlock(
        @SerialName("s") val server: BackendServerId,
        @SerialName("t") val tier: TierRank,
        @SerialName("c") val count: Int,
        @SerialName("m") val sentAtMs: Long
    ) : SlotMessage

    /** Entry to owner: withdraws an [Ask], as none of its requests wait any more. */
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
     * @property account client account whose registered request the slot is for; null for a block.
     * @property resuming suspended request that the slot is for, or null.
     * @property askedAtMs `sentAtMs` of the last [Ask] or [AskBlock] that the owner received.
     * @property long whether the slot counts as one of those that long requests may hold.
     * @property keepable whether the holder may keep the slots for further requests of the tier;
     *   otherwise each slot is given back when its request ends.
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
        @SerialName("k") val keepable: Boolean = false
    ) : SlotMessage

    /**
     * Entry to owner: the holder gives back all but [held] slots of this lease. The number of held
     * slots never grows during the life of a lease, so the lowest number received is the current
     * one.
     */
    @Serializable
    @SerialName("sr")
    data class Return(
        @SerialName("s") val server: BackendServerId,
        @SerialName("i") val lease: LeaseId,
        @SerialName("c") val held: Int
    ) : SlotMessage

    /** Entry to owner: renews leases of a server, and reports measurements of that server. */
    @Serializable
    @SerialName("sn")
    data class Renew(
        @SerialName("s") val server: BackendServerId,
        @SerialName("l") val leases: List<HeldLease>,
        @SerialName("m") val sentAtMs: Long,
        @SerialName("p") val sample: ServerSample? = null
    ) : SlotMessage

    /**
     * Owner to entry: requests the unused slots of these leases now, and the others when their
     * requests end. For a lease that it does not hold, the entry host answers with a [Return].
     */
    @Serializable
    @SerialName("sc")
    data class Recall(
        @SerialName("s") val server: BackendServerId,
        @SerialName("l") val leases: List<LeaseId>
    ) : SlotMessage

    /**
     * Owner to entry: requests preemption on this lease until only [remaining] slots of it are
     * held.
     */
    @Serializable
    @SerialName("sp")
    data class Preempt(
        @SerialName("s") val server: BackendServerId,
        @SerialName("i") val lease: LeaseId,
        @SerialName("k") val remaining: Int
    ) : SlotMessage

    /**
     * Entry to owner: requests the number of slots that lower tiers hold on this server and that
     * requests of [tier] could use.
     *
     * @property binding whether the verdict is needed for shedding, so that the owner must keep
     *   lower tiers out until it lapses.
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
     * Owner to entry: answers a [ShedCheck]. If [lowerTierSlots] is 0, it stays 0 for [termMs]
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
     * Owner to entry: state of a backend server. Answers the [Renew] sent at [renewedAtMs], or an
     * [Ask] that got no slot if [renewedAtMs] is null.
     */
    @Serializable
    @SerialName("sd")
    data class Digest(
        @SerialName("s") val server: BackendServerId,
        @SerialName("d") val state: ServerDigest,
        @SerialName("m") val renewedAtMs: Long? = null
    ) : SlotMessage
}
