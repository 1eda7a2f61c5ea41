package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.ResultCode
import org.hyssoprack.serving.limits.QuotaLedger
import org.hyssoprack.serving.settings.Account

/**
 * Charges the quotas of accounts at the slot owner.
 *
 * @param accounts client accounts with a quota, by name.
 */
internal class OwnerQuotas(
    private val quotas: QuotaLedger,
    private val accounts: () -> Map<ClientAccount, Account>
) {
    /** Returns the used shares of quotas, without those of [MIN_SHARE] or less. */
    fun usedShares(): Map<ClientAccount, Double> =
        accounts().mapValues { quotas.usedShare(it.value) }.filterValues { it >= MIN_SHARE }

    /**
     * Charges the quota. Returns the reason for rejecting the request, or null if the quota was
     * charged.
     */
    fun charge(from: HostRef, request: SlotMessage.Request): Failure? {
        val name = request.account ?: return null
        val limited = accounts()[name]
            ?: return Failure(
                ResultCode.NO_SETTINGS,
                "This host has no quota settings for client account $name yet.",
                RETRY_MS
            )
        if (!quotas.isRestored) {
            return Failure(
                ResultCode.HOST_ISOLATED,
                "This host has not loaded the usage of quotas yet.",
                RETRY_MS
            )
        }
        if (quotas.admit(from, limited, request.quota)) return null
        val waitMs = quotas.waitMs(limited, request.quota) + RETRY_MS
        val detail =
            "client account $name requested ${request.quota.toLong()} of its quota; " +
                quotas.describe(limited)
        return Failure(ResultCode.QUOTA_EXCEEDED, detail, waitMs)
    }

    fun refund(from: HostRef, name: ClientAccount, quota: Double) {
        accounts()[name]?.let { quotas.refund(from, it, quota) }
    }

    /** Applies the usage that [report] of [from] tells of. */
    fun accept(from: HostRef, report: SlotMessage.Report) {
        quotas.inherit(accounts().values, report.usedShares)
        quotas.reconcile(from, report.used)
    }

    fun forgetIdle() = quotas.forgetIdle()

    private companion object {
        // Smaller shares make no difference to what a host may admit locally.
        const val MIN_SHARE = 0.01

        // Settings and records that are missing are read several times a second.
        const val RETRY_MS = 300L
    }
}
