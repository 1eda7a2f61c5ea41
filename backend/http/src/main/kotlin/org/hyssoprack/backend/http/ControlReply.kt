package org.hyssoprack.backend.http

import io.ktor.http.HttpStatusCode

/** Status and body of the response to a short call. */
internal class ControlReply(val status: HttpStatusCode, val body: String)
