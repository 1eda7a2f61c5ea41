package org.hyssoprack.claims

/**
 * Limits of the claim service.
 *
 * @property claimAttempts number of writes that one claim attempts while the row changes.
 * @property repairDelayMs pause between two rounds of background repairs, in milliseconds.
 * @property repairLimit maximum number of pending repairs while the table service is down.
 * @property repairBytesLimit maximum size of the answers in pending repairs, in bytes of Base64.
 */
data class ClaimSettings(
    val claimAttempts: Int = 4,
    val repairDelayMs: Long = 500,
    val repairLimit: Int = 10_000,
    val repairBytesLimit: Int = 8_000_000
)
