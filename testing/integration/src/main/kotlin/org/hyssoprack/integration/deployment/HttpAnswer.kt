package org.hyssoprack.integration.deployment

/** Status and text body of an HTTP response. */
data class HttpAnswer(val status: Int, val body: String) {
    val isSuccess: Boolean get() = status in 200..299
}
