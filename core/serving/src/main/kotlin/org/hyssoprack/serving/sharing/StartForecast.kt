package org.hyssoprack.serving.sharing

/**
 * Predicts when a request that has just begun to wait is granted a slot. It addresses overloads: a
 * caller that is refused on arrival has more time left for its retry than one that waits in vain.
 *
 * @property aheadMs expected slot time of the waiting requests that go before it.
 * @property queuedMs expected slot time of all waiting requests.
 * @property slots slots that the service's requests get.
 */
class StartForecast(val aheadMs: Double, val queuedMs: Double, val slots: Double) {
    /** Time until the request is granted a slot, in milliseconds. */
    val waitMs: Double get() = if (slots > 0) aheadMs / slots else Double.MAX_VALUE

    /**
     * Returns whether the request is granted a slot before it gives up. One that is late goes
     * behind all that can be on time, so that it waits for the whole queue.
     *
     * @param onTimeMs time within which it has to be granted a slot to be on time.
     * @param giveUpMs time within which it has to be granted a slot at all.
     */
    fun isInTime(onTimeMs: Double, giveUpMs: Long): Boolean = when {
        waitMs > giveUpMs -> false
        waitMs < onTimeMs -> true
        else -> queuedMs / slots <= giveUpMs
    }

    override fun toString(): String =
        "${aheadMs.toLong()} of ${queuedMs.toLong()} ms of slot time go before it on " +
            "${slots.toInt()} usable slots."
}
