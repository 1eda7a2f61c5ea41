package org.hyssoprack.serving.limits

import org.hyssoprack.common.PromptPartId

// Parts considered at either end of a prompt.
private const val MAX_END_PARTS = 32

/** Returns the parts that may be suspected of a prompt with [parts], in their order. */
internal fun consideredParts(parts: List<PromptPartId>): List<PromptPartId> {
    val distinct = parts.distinct()
    if (distinct.size <= 2 * MAX_END_PARTS) return distinct
    return distinct.take(MAX_END_PARTS) + distinct.takeLast(MAX_END_PARTS)
}
