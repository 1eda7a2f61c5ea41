package org.hyssoprack.backend

/** The complete response of a plain service. */
data class ServiceAnswer(val status: Int, val contentType: String?, val body: ByteArray)
