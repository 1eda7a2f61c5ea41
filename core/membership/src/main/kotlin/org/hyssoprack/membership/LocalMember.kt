package org.hyssoprack.membership

import org.hyssoprack.common.BundleVersion

/** What this host says of itself. */
internal class LocalMember(private val self: Member) {
    var current = MemberStatus(
        refutation = self.refutation,
        load = self.load,
        bundle = self.bundle
    )
        private set

    /** Grows with each change. */
    var version = 0L
        private set

    /** True once a later run of this host was heard of. */
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
        refutation = current.refutation,
        profile = profile
    )

    fun member(): Member = self.copy(
        state = state(),
        refutation = current.refutation,
        load = current.load,
        bundle = current.bundle
    )

    fun announce(load: Int, bundle: BundleVersion) =
        change(current.copy(load = load, bundle = bundle))

    /** @return false if this host was leaving already. */
    fun leave(): Boolean {
        if (current.leaving) return false
        change(current.copy(leaving = true, refutation = current.refutation + 1))
        return true
    }

    /**
     * Takes note of what peers say of this host.
     *
     * @return true if they doubted that it is alive, so that its refutation must be spread.
     */
    fun learn(digest: MemberDigest): Boolean {
        if (digest.incarnation > self.ref.incarnation) isSuperseded = true
        val doubted = digest.state == MemberState.SUSPECT || digest.state == MemberState.DEAD
        val isCurrent = digest.incarnation == self.ref.incarnation &&
            digest.refutation >= current.refutation
        if (!doubted || !isCurrent) return false
        change(current.copy(refutation = digest.refutation + 1))
        return true
    }

    private fun state(): MemberState =
        if (current.leaving) MemberState.LEAVING else MemberState.ALIVE

    private fun change(status: MemberStatus) {
        if (status == current) return
        current = status
        version++
    }
}
