package org.hyssoprack.membership

import org.hyssoprack.common.BundleVersion

/** The status of this host that is sent to its peers. */
internal class LocalMember(private val self: Member) {
    var status = MemberStatus(
        refutation = self.refutation,
        load = self.load,
        bundle = self.bundle
    )
        private set

    /** Increases with each change. */
    var version = 0L
        private set

    /** True once a digest of a later run of this host has been received. */
    var isSuperseded = false
        private set

    private val profile = MemberProfile(
        linkAddress = self.linkAddress,
        callerAddress = self.callerAddress,
        domain = self.domain,
        region = self.region,
        capacity = self.capacity
    )

    fun digest(): MemberDigest = MemberDigest(
        host = self.ref.host,
        incarnation = self.ref.incarnation,
        state = state(),
        refutation = status.refutation,
        profile = profile
    )

    fun member(): Member = self.copy(
        state = state(),
        refutation = status.refutation,
        load = status.load,
        bundle = status.bundle
    )

    fun announce(load: Int, bundle: BundleVersion) =
        change(status.copy(load = load, bundle = bundle))

    /** Marks this host as leaving. Returns false if it was leaving already. */
    fun leave(): Boolean {
        if (status.leaving) return false
        change(status.copy(leaving = true, refutation = status.refutation + 1))
        return true
    }

    /**
     * Refutes a suspicion of this host that a peer has gossiped.
     *
     * @return true if [digest] marks this run SUSPECT or DEAD, so that its refutation must be
     *   gossiped.
     */
    fun refute(digest: MemberDigest): Boolean {
        if (digest.incarnation > self.ref.incarnation) isSuperseded = true
        val isSuspected = digest.state == MemberState.SUSPECT || digest.state == MemberState.DEAD
        val isCurrent = digest.incarnation == self.ref.incarnation &&
            digest.refutation >= status.refutation
        if (!isSuspected || !isCurrent) return false
        change(status.copy(refutation = digest.refutation + 1))
        return true
    }

    private fun state(): MemberState =
        if (status.leaving) MemberState.LEAVING else MemberState.ALIVE

    private fun change(newStatus: MemberStatus) {
        if (newStatus == status) return
        status = newStatus
        version++
    }
}
