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

/** Counts request outcomes for the report on error budget burn. */
internal class BurnRecorder(
    private val self: HostId,
    private val bundles: BundleHolder,
    clock: Clock
) : OutcomeRecorder {
    private val burnTracker = BurnTracker(clock)

    override fun ended(request: AdmittedRequest, end: RequestEnd) {
        val code = end.failure?.code ?: ResultCode.OK
        burnTracker.record(
            tier = request.route.tier.name,
            account = request.account,
            outcome = SloOutcome.of(code, inTime = end.inTime)
        )
    }

    // A call without a route has no tier, and so no objective and no error budget.
    override fun refused(failure: Failure, account: ClientAccount?) = Unit

    /** Returns the current counts. */
    fun snapshot(): BurnSnapshot {
        val tiers = bundles.active.value?.policy?.tiers.orEmpty()
        val objectives = tiers.map { TierObjective(tier = it.name, objective = it.objective) }
        return burnTracker.snapshot(host = self, objectives = objectives)
    }
}
