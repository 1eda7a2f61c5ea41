package org.hyssoprack.standins.engine

import org.hyssoprack.backend.CompletionBody

/** Text of emulated responses: token i is `marker:i `, so that clients can verify a response. */
object TokenText {
    private val MARKED_PROMPT = Regex("""^(?:\w+: )?\[([^\]]+)]""")

    /** Returns `user` of a request, else the `[marker]` at the start of its prompt, else its id. */
    fun marker(id: String, body: CompletionBody): String =
        body.user ?: MARKED_PROMPT.find(body.prompt)?.groupValues?.get(1) ?: id

    /** Returns the text of the token at [index]. */
    fun of(marker: String, index: Int): String = "$marker:$index "
}
