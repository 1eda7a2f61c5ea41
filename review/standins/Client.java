import java.io.IOException;
import java.net.Socket;

/** One connection of a client, on which it sends one request after the other. */
final class Client implements AutoCloseable {
    /** What a client saw of one request: a status, or 0 without a complete answer. */
    record Seen(int status, String end, String body) {}

    private final Socket socket;

    Client(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
    }

    static byte[] head(String path, String id, int deadlineMs, int length) {
        return Http.bytes("POST " + path + " HTTP/1.1\r\nHost: " + Deployment.NAME + "\r\nX-Request-Id: " + id
            + "\r\nX-Request-Deadline-Ms: " + deadlineMs + "\r\nX-Credential: " + Deployment.KEY
            + "\r\nContent-Length: " + length + "\r\n\r\n");
    }

    /** Sends a request and reads its answer, for as long as the client waits. */
    Seen call(String path, String id, int deadlineMs, byte[] body) {
        Http head = null;
        try {
            socket.setSoTimeout(deadlineMs + 1_000);
            byte[] first = head(path, id, deadlineMs, body.length);
            byte[] all = new byte[first.length + body.length];
            System.arraycopy(first, 0, all, 0, first.length);
            System.arraycopy(body, 0, all, first.length, body.length);
            socket.getOutputStream().write(all);
            head = Http.readHead(socket.getInputStream());
            if (head == null) return new Seen(0, "the connection ended without an answer", "");
            head.readBody(socket.getInputStream());
            if (!head.isWhole) return new Seen(0, "the connection ended within the answer " + head.first, "");
            return new Seen(head.status(), head.header("Connection").equalsIgnoreCase("close") ? "close" : "",
                new String(head.body));
        } catch (IOException e) {
            String where = head == null ? "before the answer" : "within the answer " + head.first;
            return new Seen(0, "the connection broke " + where + ": " + e.getMessage(), "");
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
