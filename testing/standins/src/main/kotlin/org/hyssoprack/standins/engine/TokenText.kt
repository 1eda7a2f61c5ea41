package org.hyssoprack.standins.engine

import org.hyssoprack.backend.CompletionBody

/** Text of emulated answers: token i of an answer is `marker:i ` so that anyone can check it. */
object TokenText {
    private val MARKED_PROMPT = Regex("""^(?:\w+: )?\[([^\]]+)]""")

    /** The marker of a request: its `user`, else the `[marker]` that begins its prompt, else its id. */
    fun marker(id: String, body: CompletionBody): String =
        body.user ?: MARKED_PROMPT.find(body.prompt)?.groupValues?.get(1) ?: id

    /** Text of the token with this index. */
    fun of(marker: String, index: Int): String = "$marker:$index "
}
