package org.hyssoprack.common

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.coroutines.cancellation.CancellationException

/**
 * Returns the result of [block], or what it threw. Unlike `Either.catch` it also returns a stack
 * overflow, since the process can go on after one.
 */
inline fun <T> catchAny(block: () -> T): Either<Throwable, T> = try {
    block().right()
} catch (e: CancellationException) {
    throw e
} catch (e: Exception) {
    e.left()
} catch (e: StackOverflowError) {
    e.left()
}
