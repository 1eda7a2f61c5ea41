package org.hyssoprack.serving.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The request rate that a backend server accepts from all hosts together, as hosts tell each other.
 *
 * @property perS requests per second.
 * @property ageMs time since the server last named it, in milliseconds before the sending.
 */
@Serializable
data class ServerLimit(
    @SerialName("s") val server: ServerInstance,
    @SerialName("r") val perS: Double,
    @SerialName("a") val ageMs: Long
)
