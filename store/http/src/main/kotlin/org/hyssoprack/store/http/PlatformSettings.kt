package org.hyssoprack.store.http

/** Timeouts, in milliseconds, and circuit breaker settings of calls to the platform. */
data class PlatformSettings(
    val connectTimeoutMs: Long = 300,
    val requestTimeoutMs: Long = 1_000,
    val bodyTimeoutMs: Long = 3_000,
    val breakerFailures: Int = 5,
    val breakerOpenMs: Long = 500
)
