package org.hyssoprack.settings

/** Measures the nesting depth of a JSON text before it is passed to a recursive parser. */
internal object JsonDepth {
    /** Returns the maximum nesting depth of objects and arrays in [json], which may be invalid. */
    fun of(json: String): Int {
        var depth = 0
        var deepest = 0
        var inString = false
        var index = 0
        while (index < json.length) {
            when (json[index]) {
                '"' -> inString = !inString
                '\\' -> if (inString) index++
                '{', '[' -> if (!inString) depth++
                '}', ']' -> if (!inString) depth--
            }
            deepest = maxOf(deepest, depth)
            index++
        }
        return deepest
    }
}
