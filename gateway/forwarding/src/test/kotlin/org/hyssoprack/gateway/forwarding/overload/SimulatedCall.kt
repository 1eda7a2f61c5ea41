package org.hyssoprack.gateway.forwarding.overload

/** One caller's request in a simulated load, with all its attempts. */
internal class SimulatedCall(
    val kind: RequestClass,
    val arrivedMs: Long,
    val promptTokens: Int,
    val outputTokens: Int,
    val hintedTokens: Int
) {
    var attempts = 0

    /** Time from the arrival to the first event, in milliseconds; null if there was none. */
    var firstMs: Long? = null

    val isServed: Boolean get() = firstMs != null
    val isOnTime: Boolean get() = firstMs.let { it != null && it <= kind.targetMs }
}
