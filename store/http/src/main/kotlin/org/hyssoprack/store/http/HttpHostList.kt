package org.hyssoprack.store.http

import arrow.core.Either
import arrow.core.flatMap
import kotlinx.serialization.builtins.ListSerializer
import org.hyssoprack.common.Failure
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.HostList

/** [HostList] over HTTP. */
class HttpHostList(private val connection: PlatformServiceClient) : HostList {
    override suspend fun backendServers(): Either<Failure, List<BackendServer>> =
        connection.get(PlatformPath.BACKEND_SERVERS)
            .answer()
            .flatMap { it.decode(ListSerializer(BackendServer.serializer())) }
}
