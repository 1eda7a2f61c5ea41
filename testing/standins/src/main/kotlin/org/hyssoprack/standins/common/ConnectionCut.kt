package org.hyssoprack.standins.common

import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.DelicateCoroutinesApi
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.GlobalScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch

// Delay before the connection is closed, so that bytes already written reach the client.
private const val CLOSE_DELAY_MS = 50L

// Coroutine name that Ktor's CIO engine gives to each connection.
private const val CONNECTION_COROUTINE = "http-pipeline"

/**
 * Aborts a response in the middle and closes its connection. An exception in the body alone is not
 * enough: if it is thrown just as a write ends, the CIO engine treats the response as complete and
 * keeps the connection open.
 */
@OptIn(DelicateCoroutinesApi::class)
internal fun ApplicationCall.cutConnection(): Nothing {
    val connection = checkNotNull(connectionOf(coroutineContext.job)) {
        "no parent job named $CONNECTION_COROUTINE"
    }
    GlobalScope.launch {
        delay(CLOSE_DELAY_MS)
        connection.cancel()
    }
    throw StreamCutException()
}

@OptIn(ExperimentalCoroutinesApi::class)
private fun connectionOf(job: Job): Job? = generateSequence(job) { it.parent }
    .firstOrNull { nameOf(it) == CONNECTION_COROUTINE }

private fun nameOf(job: Job): String? =
    (job as? CoroutineScope)?.coroutineContext?.get(CoroutineName)?.name
