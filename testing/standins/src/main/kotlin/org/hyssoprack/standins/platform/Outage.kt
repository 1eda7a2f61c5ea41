package org.hyssoprack.standins.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a platform service fails as a whole. */
@Serializable
enum class Outage {
    @SerialName("none")
    NONE,

    /** Calls are taken in and never answered; they have no effect. */
    @SerialName("hang")
    HANG,

    /** Calls are answered with 503 and have no effect. */
    @SerialName("unavailable")
    UNAVAILABLE
}
