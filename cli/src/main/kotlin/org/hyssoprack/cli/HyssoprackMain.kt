package org.hyssoprack.cli

import kotlin.system.exitProcess

/** Runs the command line for operators and callers. */
fun main(args: Array<String>) {
    val status = Hyssoprack(Console()).run(args)
    System.out.flush()
    exitProcess(status)
}
