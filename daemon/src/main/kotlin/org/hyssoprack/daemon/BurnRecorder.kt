package org.hyssoprack.daemon

import org.hyssoprack.burn.BurnSnapshot
import org.hyssoprack.burn.BurnTracker
import org.hyssoprack.burn.SloOutcome
import org.hyssoprack.burn.TierObjective
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.host.AdmittedRequest
import org.hyssoprack.host.OutcomeRecorder
import org.hyssoprack.host.RequestEnd
import org.hyssoprack.settings.BundleHolder

/** Counts how requests end, for the report on service-level burn. */
internal class BurnRecorder(
    private val self: HostId,
    private val bundles: BundleHolder,
    clock: Clock
) : OutcomeRecorder {
    private val burnLog = BurnTracker(clock)

    override fun ended(request: AdmittedRequest, end: RequestEnd) {
        val code = end.failure?.code ?: ResultCode.OK
        burnLog.record(
            tier = request.route.tier.name,
            account = request.account,
            ending = SloOutcome.of(code, inTime = end.inTime)
        )
    }

    // A call without a route belongs to no tier, so it has no objective to burn.
    override fun refused(failure: Failure, account: ClientAccount?) = Unit

    /** The counts as they are now. */
    fun snapshot(): BurnSnapshot {
        val tiers = bundles.active.value?.policy?.tiers.orEmpty()
        val objectives = tiers.map { TierObjective(tier = it.name, objective = it.objective) }
        return burnLog.snapshot(host = self, objectives = objectives)
    }
}
