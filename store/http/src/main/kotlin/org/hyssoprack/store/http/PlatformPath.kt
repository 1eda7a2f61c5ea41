package org.hyssoprack.store.http

/** HTTP paths of the platform's services. */
object PlatformPath {
    const val TABLE_READ = "/read"
    const val TABLE_SCAN = "/scan"
    const val TABLE_WRITE = "/write"
    const val OBJECTS = "/objects"
    const val BACKEND_SERVERS = "/backend-servers"
    const val MODELS = "/models"
}
