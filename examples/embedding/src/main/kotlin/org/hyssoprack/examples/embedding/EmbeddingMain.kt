package org.hyssoprack.examples.embedding

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking

/** Runs the example and prints its results. */
fun main() {
    val scope = CoroutineScope(Job() + Dispatchers.Default)
    val result = runBlocking { EmbeddingExample(scope).run() }
    scope.cancel()
    println("bundle versions in force: ${result.versions}")
    println("requests submitted: ${result.submitted.size}, dispatched: ${result.dispatched.size}")
    result.claims.forEach { println("claim: $it") }
}
