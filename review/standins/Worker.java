import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A worker that serves one request at a time on each connection; [Behaviour] decides what it does. */
final class Worker {
    /** One connection of a worker, with what the behaviour keeps for it. */
    static final class Connection {
        final Socket socket;
        byte[] extra;

        Connection(Socket socket) {
            this.socket = socket;
        }

        void write(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }
    }

    interface Behaviour {
        void serve(Connection connection, Http request) throws IOException, InterruptedException;
    }

    final String id;
    private final ServerSocket listener;
    private final Behaviour behaviour;
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Worker(String id, Behaviour behaviour) throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Deployment.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Ends the worker: closes all its sockets. */
    void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) socket.close();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Deployment.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Connection connection = new Connection(socket);
            while (true) {
                Http request = Http.read(socket.getInputStream());
                if (request == null || !request.isWhole) return;
                String expected = request.header("X-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    connection.write(answer(request, "421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", ""));
                } else {
                    behaviour.serve(connection, request);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The host has closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    /** A complete answer that echoes the id of [request]. */
    static byte[] answer(Http request, String status, String headers, String body) {
        return Http.bytes("HTTP/1.1 " + status + "\r\nX-Request-Id: " + request.header("X-Request-Id") + "\r\n"
            + headers + "Keep-Alive: timeout=10\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }
}
