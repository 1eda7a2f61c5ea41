package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.HostId
import org.hyssoprack.serving.limits.LocalQuota

/** Records charges to quotas on this host, and reverts them. */
internal class SlotCharges(
    private val quota: LocalQuota,
    private val send: (HostId, SlotMessage) -> Unit
) {
    /** Records that [owner] made [charge] with its grant. */
    fun chargedBy(owner: HostId, charge: QuotaCharge?) {
        if (charge == null || charge.chargedBy != null) return
        charge.chargedBy = QuotaCharge.ChargedBy.Owner(owner)
        quota.record(charge.account.name, charge.amount)
    }

    /**
     * Makes [charge] without the ledger unless it was made before. Returns false if this host's
     * share of the quota is exhausted.
     *
     * @param isLate whether a ledger is in use, whose host replies late or was lost a moment ago.
     */
    fun chargeLocally(charge: QuotaCharge, isLate: Boolean): Boolean {
        if (charge.chargedBy != null) return true
        val isAdmitted = if (isLate) {
            quota.admitLate(charge.account, charge.amount)
        } else {
            quota.admitLocally(charge.account, charge.amount)
        }
        if (!isAdmitted) return false
        charge.chargedBy = QuotaCharge.ChargedBy.Local
        return true
    }

    /** Refunds the quota of a request that did not run. */
    fun refund(charge: QuotaCharge) {
        val account = charge.account.name
        when (val chargedBy = charge.chargedBy) {
            is QuotaCharge.ChargedBy.Owner -> {
                quota.record(account, -charge.amount)
                send(chargedBy.host, SlotMessage.Refund(account, charge.amount))
            }

            QuotaCharge.ChargedBy.Local -> quota.refundLocally(account, charge.amount)

            null -> Unit
        }
        charge.chargedBy = null
    }
}
