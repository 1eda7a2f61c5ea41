package org.hyssoprack.bench.capacity

import com.sun.management.OperatingSystemMXBean
import java.lang.management.ManagementFactory

/** Reads the CPU time and heap usage of this process. */
internal object Meter {
    private const val COLLECTIONS = 4
    private const val COLLECTION_PAUSE_MS = 50L

    private val system = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
    private val threads = ManagementFactory.getThreadMXBean()
    private val memory = ManagementFactory.getMemoryMXBean()

    /** Returns the CPU time of all threads, in nanoseconds. */
    fun processCpuNanos(): Long = system.processCpuTime

    /** Returns the CPU time of the calling thread, in nanoseconds. */
    fun threadCpuNanos(): Long = threads.currentThreadCpuTime

    /** Returns the used heap after garbage collection, in bytes. */
    fun heapBytes(): Long {
        repeat(COLLECTIONS) {
            System.gc()
            Thread.sleep(COLLECTION_PAUSE_MS)
        }
        return memory.heapMemoryUsage.used
    }
}
