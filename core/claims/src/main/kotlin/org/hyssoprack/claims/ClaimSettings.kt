package org.hyssoprack.claims

/**
 * Limits of the claim service.
 *
 * @property claimTries rows that one claim tries to replace before it gives up.
 * @property repairDelayMs pause between two rounds of background repairs, in milliseconds.
 * @property repairLimit number of repairs kept while the table service is down.
 * @property repairBytesLimit recorded answers kept for the same reason, in bytes.
 */
data class ClaimSettings(
    val claimTries: Int = 4,
    val repairDelayMs: Long = 500,
    val repairLimit: Int = 10_000,
    val repairBytesLimit: Int = 8_000_000
)
