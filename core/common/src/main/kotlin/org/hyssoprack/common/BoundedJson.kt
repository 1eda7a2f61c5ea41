package org.hyssoprack.common

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.json.Json

/**
 * Decodes JSON that other processes wrote. Unknown keys are ignored.
 *
 * The nesting depth is checked before the text is parsed: the parser reads nested values by
 * recursion, and a stack overflow is no exception that callers expect.
 */
object BoundedJson {
    /** Maximum length of a text, in characters. Far above the largest row of the store. */
    const val MAX_CHARS = 1_048_576

    /** Maximum number of lists and objects within each other. */
    const val MAX_DEPTH = 64

    private const val MAX_DETAIL = 160
    private val format = Json { ignoreUnknownKeys = true }

    /** Decodes [text]. Returns the reason if it is no valid [type] or exceeds a bound. */
    fun <T> decode(type: DeserializationStrategy<T>, text: String): Either<String, T> = either {
        ensure(text.length <= MAX_CHARS) { "text of ${text.length} characters" }
        ensure(!isDeeperThan(text, MAX_DEPTH)) { "values nested more than $MAX_DEPTH deep" }
        Either.catch { format.decodeFromString(type, text) }
            .mapLeft { (it.message ?: it.javaClass.simpleName).take(MAX_DETAIL) }
            .bind()
    }

    private fun isDeeperThan(text: String, limit: Int): Boolean {
        var depth = 0
        var isInString = false
        var index = 0
        while (index < text.length) {
            when (text[index]) {
                '\\' -> if (isInString) index++
                '"' -> isInString = !isInString
                '[', '{' -> if (!isInString && ++depth > limit) return true
                ']', '}' -> if (!isInString && depth > 0) depth--
            }
            index++
        }
        return false
    }
}
