package org.hyssoprack.integration.deployment

/** An HTTP answer as text. */
data class HttpAnswer(val status: Int, val body: String) {
    val isSuccess: Boolean get() = status in 200..299
}
