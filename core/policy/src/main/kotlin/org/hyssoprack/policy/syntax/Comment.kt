package org.hyssoprack.policy.syntax

/** A comment from `#` to the end of [line]; [text] is without the `#` and outer blanks. */
internal data class Comment(val text: String, val line: Int)
