package org.hyssoprack.serving.limits

/** What a response tells about the request rate that its server accepts from all hosts together. */
sealed interface ReportedRateLimit {
    /** The response names no limit. */
    data object None : ReportedRateLimit

    /** The response names a limit that cannot be used. */
    data object Invalid : ReportedRateLimit

    /** The server accepts at most [perS] requests per second. */
    data class PerSecond(val perS: Double) : ReportedRateLimit
}
