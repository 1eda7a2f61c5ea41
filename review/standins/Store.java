import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store by its published protocol: tables, transactions and feeds, in memory. */
final class Store {
    private record Row(String value, long ver) {}

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final ServerSocket listener;
    private long ver;

    Store() throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Deployment.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes a row as the operator or a worker does; returns at the acknowledgement. */
    synchronized void put(String table, String key, String text) {
        ver++;
        String value = Base64.getEncoder().encodeToString(Http.bytes(text));
        tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, new Row(value, ver));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        ver++;
        rowsOf(table).put(key, new Row(null, ver));
        notifyAll();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                Deployment.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            while (true) {
                Http call = Http.read(socket.getInputStream());
                if (call == null) return;
                answer(call, socket.getOutputStream());
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the connection.
        }
    }

    private void answer(Http call, OutputStream out) throws IOException, InterruptedException {
        String[] target = call.target().split("\\?", 2);
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        int status = 200;
        String body;
        switch (target[0]) {
            case "/v1/rows-get" -> body = get(query);
            case "/v1/rows-feed" -> body = feed(query);
            case "/v1/rows-tx" -> {
                Thread.sleep(4);
                String text = new String(call.body, StandardCharsets.UTF_8);
                body = transact(text);
                if (body.startsWith("!")) {
                    status = 412;
                    body = body.substring(1);
                }
            }
            default -> {
                status = 404;
                body = "{}";
            }
        }
        byte[] bytes = Http.bytes(body);
        String head = "HTTP/1.1 " + status + " S\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
            + "Content-Length: " + bytes.length + "\r\n\r\n";
        out.write(Http.bytes(head));
        out.write(bytes);
        out.flush();
    }

    private synchronized String get(Map<String, String> query) {
        List<String> rows = new ArrayList<>();
        String from = query.getOrDefault("from", "");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        boolean truncated = false;
        for (var entry : rowsOf(query.get("table")).tailMap(from, true).entrySet()) {
            if (entry.getValue().value == null) continue;
            if (rows.size() == limit) {
                truncated = true;
                break;
            }
            rows.add(row(query.get("table"), entry.getKey(), entry.getValue()));
        }
        return answerOf(rows, truncated);
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("afterRev"));
        long endMs = Deployment.nowMs() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            List<String> rows = new ArrayList<>();
            rowsOf(query.get("table")).entrySet().stream()
                .filter(e -> e.getValue().ver > after)
                .sorted((a, b) -> Long.compare(a.getValue().ver, b.getValue().ver))
                .forEach(e -> rows.add(row(query.get("table"), e.getKey(), e.getValue())));
            long leftMs = endMs - Deployment.nowMs();
            if (!rows.isEmpty() || leftMs <= 0) return answerOf(rows, false);
            wait(leftMs);
        }
    }

    private static final Pattern OBJECT = Pattern.compile("\\{[^{}]*\\}");

    private synchronized String transact(String text) {
        List<String> conflicts = new ArrayList<>();
        for (String expected : objects(text, "expectedRev")) {
            Row row = rowsOf(field(expected, "table")).get(field(expected, "key"));
            long has = row == null || row.value == null ? 0 : row.ver;
            if (has == Long.parseLong(field(expected, "ver"))) continue;
            conflicts.add(has == 0 ? "" : row(field(expected, "table"), field(expected, "key"), row));
        }
        if (!conflicts.isEmpty()) {
            conflicts.removeIf(String::isEmpty);
            return "!" + answerOf(conflicts, false);
        }
        ver++;
        for (String write : objects(text, "writes")) {
            rowsOf(field(write, "table")).put(field(write, "key"), new Row(field(write, "value"), ver));
        }
        for (String gone : objects(text, "remove")) {
            rowsOf(field(gone, "table")).put(field(gone, "key"), new Row(null, ver));
        }
        notifyAll();
        return answerOf(List.of(), false);
    }

    private TreeMap<String, Row> rowsOf(String table) {
        return tables.computeIfAbsent(table, t -> new TreeMap<>());
    }

    private String answerOf(List<String> rows, boolean truncated) {
        return "{\"rows\":[" + String.join(",", rows) + "],\"truncated\":" + truncated + ",\"ver\":" + ver
            + ",\"nowMs\":" + Deployment.nowMs() + "}";
    }

    private static String row(String table, String key, Row row) {
        String value = row.value == null ? "\"deleted\":true" : "\"value\":\"" + row.value + "\"";
        return "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"ver\":" + row.ver + ","
            + value + "}";
    }

    /** The flat objects in the list [name] of a transaction. */
    private static List<String> objects(String text, String name) {
        List<String> found = new ArrayList<>();
        int start = text.indexOf("\"" + name + "\":[");
        if (start < 0) return found;
        Matcher objects = OBJECT.matcher(text.substring(start, text.indexOf(']', start)));
        while (objects.find()) found.add(objects.group());
        return found;
    }

    private static String field(String object, String name) {
        Matcher found = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(object);
        return found.find() ? found.group(1) : "";
    }

    private static Map<String, String> query(String text) {
        Map<String, String> found = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                found.put(pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return found;
    }
}
