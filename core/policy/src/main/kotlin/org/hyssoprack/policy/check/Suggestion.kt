package org.hyssoprack.policy.check

/** Finds the known name that a misspelt one most likely means. */
internal object Suggestion {
    private const val CHARS_PER_EDIT = 3

    /** Text to append to an error message; empty if no name of [known] is near [name]. */
    fun hint(name: String, known: Collection<String>): String {
        val nearest = nearest(name, known) ?: return ""
        return "; did you mean '$nearest'?"
    }

    /** The name of [known] with the fewest edits to [name], if a third of it or less differs. */
    fun nearest(name: String, known: Collection<String>): String? {
        val most = maxOf(1, name.length / CHARS_PER_EDIT)
        return known
            .filter { kotlin.math.abs(it.length - name.length) <= most }
            .map { Candidate(name = it, edits = edits(name, it)) }
            .filter { it.edits <= most }
            .minByOrNull { it.edits }
            ?.name
    }

    /** Edit distance in which the swap of two neighbours counts as one edit. */
    private fun edits(a: String, b: String): Int {
        var above2 = IntArray(b.length + 1)
        var above = IntArray(b.length + 1) { it }
        for (i in a.indices) {
            val row = IntArray(b.length + 1)
            row[0] = i + 1
            for (j in b.indices) {
                val replaced = above[j] + if (same(a[i], b[j])) 0 else 1
                row[j + 1] = minOf(replaced, above[j + 1] + 1, row[j] + 1)
                val swapped = i > 0 && j > 0 && same(a[i], b[j - 1]) && same(a[i - 1], b[j])
                if (swapped) row[j + 1] = minOf(row[j + 1], above2[j - 1] + 1)
            }
            above2 = above
            above = row
        }
        return above[b.length]
    }

    private fun same(a: Char, b: Char) = a.equals(b, ignoreCase = true)

    private class Candidate(val name: String, val edits: Int)
}
