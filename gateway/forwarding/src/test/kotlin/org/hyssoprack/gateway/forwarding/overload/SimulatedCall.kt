package org.hyssoprack.gateway.forwarding.overload

/** One caller's request in a played load, with all its attempts. */
internal class SimulatedCall(
    val kind: RequestClass,
    val arrivedMs: Long,
    val promptTokens: Int,
    val outputTokens: Int,
    val hintedTokens: Int
) {
    var attempts = 0

    /** When the first event came, in milliseconds after the arrival; null if none came. */
    var firstMs: Long? = null

    val isServed: Boolean get() = firstMs != null
    val isInTime: Boolean get() = firstMs.let { it != null && it <= kind.targetMs }
}
