package org.hyssoprack.backend

/** The whole answer of a plain service. */
data class ServiceAnswer(val status: Int, val contentType: String?, val body: ByteArray)
