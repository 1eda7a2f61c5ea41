package org.hyssoprack.standins.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Outage of a whole platform service. */
@Serializable
enum class Outage {
    @SerialName("none")
    NONE,

    /** Calls are received but never answered; they have no effect. */
    @SerialName("hang")
    HANG,

    /** Calls are answered with 503 and have no effect. */
    @SerialName("unavailable")
    UNAVAILABLE
}
