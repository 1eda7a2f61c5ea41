import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 message as read from a socket. */
final class Http {
    String first = "";
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    /** Whether the body ended as its head says; false if the connection ended before. */
    boolean isWhole;

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    /** Path and query of a request. */
    String target() {
        return first.split(" ")[1];
    }

    /** Status of a response. */
    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    /** Reads a head; null if the connection ended before it was complete. */
    static Http readHead(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < 4 || !text.substring(text.length() - 4).equals("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) return null;
            text.append((char) b);
        }
        Http message = new Http();
        String[] lines = text.toString().split("\r\n");
        message.first = lines[0];
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            message.headers.put(lines[i].substring(0, colon).trim(), lines[i].substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a whole message; null if the connection ended before its head was complete. */
    static Http read(InputStream in) throws IOException {
        Http message = readHead(in);
        if (message != null) message.readBody(in);
        return message;
    }

    void readBody(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if (header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
            isWhole = readChunks(in, out);
        } else {
            String length = header("Content-Length");
            int left = length.isEmpty() ? 0 : Integer.parseInt(length);
            byte[] read = in.readNBytes(left);
            out.write(read);
            isWhole = read.length == left;
        }
        body = out.toByteArray();
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream out) throws IOException {
        while (true) {
            String line = readLine(in);
            if (line == null) return false;
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) return false;
            out.write(chunk);
            if (readLine(in) == null) return false;
            if (size == 0) return true;
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int b = in.read();
            if (b < 0) return null;
            if (b == '\n') return line.toString().trim();
            line.append((char) b);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
