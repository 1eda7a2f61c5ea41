package org.hyssoprack.policy.syntax

/** Kinds of tokens of the policy language. */
internal enum class TokenKind { WORD, STRING, NUMBER, PUNCTUATION, END }
