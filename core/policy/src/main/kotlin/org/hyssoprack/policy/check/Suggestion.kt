package org.hyssoprack.policy.check

/** Finds the known name closest to a misspelt one. */
internal object Suggestion {
    private const val CHARS_PER_EDIT = 3

    /** Returns a suffix for an error message; empty if no name in [known] is close to [name]. */
    fun hint(name: String, known: Collection<String>): String {
        val nearest = nearest(name, known) ?: return ""
        return "; did you mean '$nearest'?"
    }

    /**
     * Returns the name in [known] with the smallest edit distance to [name]; null if all distances
     * are above a third of the length of [name], and above one.
     */
    fun nearest(name: String, known: Collection<String>): String? {
        val maxEdits = maxOf(1, name.length / CHARS_PER_EDIT)
        return known
            .filter { kotlin.math.abs(it.length - name.length) <= maxEdits }
            .map { Candidate(name = it, edits = editDistance(name, it)) }
            .filter { it.edits <= maxEdits }
            .minByOrNull { it.edits }
            ?.name
    }

    /** Returns the edit distance; a swap of adjacent characters counts as one edit. */
    private fun editDistance(a: String, b: String): Int {
        var secondLastRow = IntArray(b.length + 1)
        var lastRow = IntArray(b.length + 1) { it }
        for (i in a.indices) {
            val row = IntArray(b.length + 1)
            row[0] = i + 1
            for (j in b.indices) {
                val replaced = lastRow[j] + if (equalsIgnoreCase(a[i], b[j])) 0 else 1
                row[j + 1] = minOf(replaced, lastRow[j + 1] + 1, row[j] + 1)
                val swapped = i > 0 &&
                    j > 0 &&
                    equalsIgnoreCase(a[i], b[j - 1]) &&
                    equalsIgnoreCase(a[i - 1], b[j])
                if (swapped) row[j + 1] = minOf(row[j + 1], secondLastRow[j - 1] + 1)
            }
            secondLastRow = lastRow
            lastRow = row
        }
        return lastRow[b.length]
    }

    private fun equalsIgnoreCase(a: Char, b: Char) = a.equals(b, ignoreCase = true)

    private class Candidate(val name: String, val edits: Int)
}
