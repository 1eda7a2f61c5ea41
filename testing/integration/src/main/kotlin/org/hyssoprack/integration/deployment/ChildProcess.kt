package org.hyssoprack.integration.deployment

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A JVM started by a test; its output goes to a file, and signals are sent to its process id. */
class ChildProcess private constructor(
    val name: String,
    val output: Path,
    private val process: Process
) {
    val isAlive: Boolean get() = process.isAlive

    /** Sends SIGTERM and returns without waiting. */
    fun terminate() = signal("TERM")

    /** Suspends the process with SIGSTOP until [resume]. */
    fun pause() = signal("STOP")

    /** Continues a suspended process with SIGCONT. */
    fun resume() = signal("CONT")

    /** Sends SIGKILL and waits for the process to end. */
    fun kill() {
        signal("KILL")
        process.waitFor()
    }

    /** Waits up to [timeoutMs] milliseconds; returns true if the process has ended. */
    fun awaitEnd(timeoutMs: Long): Boolean = process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)

    private fun signal(name: String) {
        if (!process.isAlive) return
        ProcessBuilder("kill", "-$name", process.pid().toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start()
            .waitFor()
    }

    companion object {
        private val COMMON_FLAGS = listOf(
            "-XX:+PerfDisableSharedMem",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto"
        )

        /** Starts [mainClass] on [classPath]; output is appended to `NAME.log` in [directory]. */
        fun start(
            name: String,
            mainClass: String,
            args: List<String>,
            directory: Path,
            heapMb: Int,
            classPath: String = ownClassPath()
        ): ChildProcess {
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val command = listOf(java) + COMMON_FLAGS +
                listOf("-Xmx${heapMb}m", "-cp", classPath, mainClass) + args
            val output = directory.resolve("$name.log")
            val process = ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(File(output.toString())))
                .start()
            return ChildProcess(name = name, output = output, process = process)
        }

        /** Returns the class path of this JVM. */
        fun ownClassPath(): String = System.getProperty("surefire.real.class.path")
            ?: System.getProperty("java.class.path")
    }
}
