package org.hyssoprack.settings

/** Measures how deeply a JSON text nests, before a parser that recurses gets to see it. */
internal object JsonDepth {
    /** The deepest level of objects and arrays in [json]; the text need not be valid. */
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
