package org.hyssoprack.gateway

/** Serves requests; a call is cancelled when the caller closes its connection. */
fun interface RequestHandler {
    suspend fun handle(request: CallerRequest, answer: ResponseWriter)
}
