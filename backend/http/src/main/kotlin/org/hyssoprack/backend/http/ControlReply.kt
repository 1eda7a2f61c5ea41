package org.hyssoprack.backend.http

import io.ktor.http.HttpStatusCode

/** Status and body of a short call's answer. */
internal class ControlReply(val status: HttpStatusCode, val body: String)
