package org.hyssoprack.policy.syntax

/** A place in a policy text; [line] and [column] count from 1. */
internal data class Position(val line: Int, val column: Int)
