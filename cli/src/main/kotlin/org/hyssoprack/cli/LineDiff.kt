package org.hyssoprack.cli

/** Compares two texts line by line. */
internal object LineDiff {
    private const val CONTEXT_LINES = 2
    private const val MAX_TABLE_CELLS = 4_000_000L

    /** Returns the changed lines with some lines of context; empty if the texts are equal. */
    fun text(from: List<String>, to: List<String>): String {
        val start = from.zip(to).takeWhile { it.first == it.second }.size
        val rest = minOf(from.size, to.size) - start
        val end = from.asReversed().zip(to.asReversed())
            .take(rest)
            .takeWhile { it.first == it.second }
            .size
        val old = from.subList(start, from.size - end)
        val new = to.subList(start, to.size - end)
        if (old.isEmpty() && new.isEmpty()) return ""
        val lines = from.subList(0, start).map { "  $it" } +
            changes(old, new) +
            from.subList(from.size - end, from.size).map { "  $it" }
        return shorten(lines).joinToString("") { it.trimEnd() + "\n" }
    }

    private fun changes(old: List<String>, new: List<String>): List<String> {
        // For larger inputs, the table of common subsequences would take too much memory.
        if (old.size.toLong() * new.size > MAX_TABLE_CELLS) {
            return old.map { "- $it" } + new.map { "+ $it" }
        }
        val common = lcsLengths(old, new)
        val lines = mutableListOf<String>()
        var i = 0
        var j = 0
        while (i < old.size || j < new.size) {
            when {
                i < old.size && j < new.size && old[i] == new[j] -> {
                    lines += "  ${old[i]}"
                    i++
                    j++
                }

                j == new.size || (i < old.size && common[i + 1][j] >= common[i][j + 1]) ->
                    lines += "- ${old[i++]}"

                else -> lines += "+ ${new[j++]}"
            }
        }
        return lines
    }

    /** Returns a table whose cell (i, j) is the LCS length of [old] from i and [new] from j. */
    private fun lcsLengths(old: List<String>, new: List<String>): Array<IntArray> {
        val common = Array(old.size + 1) { IntArray(new.size + 1) }
        for (i in old.indices.reversed()) {
            for (j in new.indices.reversed()) {
                common[i][j] = when {
                    old[i] == new[j] -> common[i + 1][j + 1] + 1
                    else -> maxOf(common[i + 1][j], common[i][j + 1])
                }
            }
        }
        return common
    }

    private fun shorten(lines: List<String>): List<String> {
        val changed = lines.indices.filter { lines[it][0] != ' ' }
        val shown = changed
            .flatMap { it - CONTEXT_LINES..it + CONTEXT_LINES }
            .filter { it in lines.indices }
            .distinct()
        return shown.flatMapIndexed { position, index ->
            val follows = position == 0 || shown[position - 1] == index - 1
            if (follows) listOf(lines[index]) else listOf("  ...", lines[index])
        }
    }
}
