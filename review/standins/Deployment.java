import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the store's stand-in, and host processes that are started with the
 * command and the settings template of the deploy file. Its working files lie in a temporary folder.
 */
final class Deployment {
    /** One process of the system. */
    static final class Host {
        final String name;
        final int callers = freePort();
        final int ready = freePort();
        final int directory = freePort();
        final int link = freePort();
        Process process;

        Host(String name) {
            this.name = name;
        }

        long pid() {
            return process.pid();
        }
    }

    private static final Random RANDOM = new Random();
    private static final Set<Integer> GIVEN = new HashSet<>();
    static final String KEY = "key-of-one-tenant";
    static final String NAME = "shop.example";
    final Store store = new Store();
    final List<Host> hosts = new ArrayList<>();
    private final Path folder = Files.createTempDirectory("review");
    private final Path repository;
    private final PrintWriter record;

    Deployment(String repository, String record) throws IOException {
        this.repository = Path.of(repository).toAbsolutePath();
        this.record = new PrintWriter(record);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    static boolean isTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    static void daemon(Runnable work) {
        Thread thread = new Thread(null, work, "", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private static final long START_MS = nowMs();

    synchronized void record(String line) {
        record.printf("%9.3f %s%n", (nowMs() - START_MS) / 1000.0, line);
        record.flush();
    }

    synchronized void say(String line) {
        record(line);
        System.out.println(line);
    }

    /** Writes the operator's configuration with [routes] and [services]. */
    void configure(long version, String routes, String services) {
        String limits = "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";
        store.put("op", "config", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
            + services + "],\"limits\":" + limits + ",\"tenants\":[{\"name\":\"one\",\"apiKeys\":[\"" + KEY
            + "\"],\"priority\":1,\"unit\":\"token_stream\",\"plainTokens\":200,\"ratePerS\":0,\"burst\":0}]}");
    }

    static String route(String name, String kind, String service, int timeoutMs, int targetMs, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + NAME + "\",\"prefix\":\"/" + name + "/\",\"kind\":\""
            + kind + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + targetMs
            + ",\"gapTargetMs\":400,\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":" + attempts
            + "}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":110}";
    }

    /** A worker's entry in the store, which it renews every 1,200 ms. */
    final class Entry {
        private final Worker worker;
        private final String service;
        private final int slots;
        private final long bornMs = System.currentTimeMillis();
        private String state = "ready";
        private int seqNo;
        private boolean isRemoved;

        Entry(Worker worker, String service, int slots) {
            this.worker = worker;
            this.service = service;
            this.slots = slots;
        }

        synchronized void write() {
            if (isRemoved) return;
            seqNo++;
            store.put("servers", worker.id, "{\"service\":\"" + service + "\",\"address\":\""
                + worker.address() + "\",\"zone\":\"a\",\"version\":\"1\",\"slots\":" + slots
                + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"seqNo\":" + seqNo + ",\"born\":"
                + bornMs + "}");
        }

        synchronized void setState(String next) {
            state = next;
            write();
        }

        synchronized void remove() {
            isRemoved = true;
            store.remove("servers", worker.id);
        }
    }

    /** Registers a worker and renews its entry. */
    Entry register(Worker worker, String service, int slots) {
        Entry entry = new Entry(worker, service, slots);
        daemon(() -> {
            while (true) {
                entry.write();
                try {
                    Thread.sleep(1_200);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        return entry;
    }

    /** Starts a host process. */
    Host start(String name) throws IOException {
        Host host = new Host(name);
        hosts.add(host);
        launch(host);
        return host;
    }

    void launch(Host host) throws IOException {
        Path settings = folder.resolve(host.name + ".json");
        Files.writeString(settings, render(Files.readString(repository.resolve("deploy/hyssoprack.json")), host));
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) throw new IOException("no line run in the deploy file");
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.directory(repository.toFile());
        builder.environment().put("HYSSOPRACK_SETTINGS", settings.toString());
        File log = new File("/dev/null");
        if (System.getenv("REVIEW_LOGS") != null) log = new File(System.getenv("REVIEW_LOGS"), host.name + ".log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        host.process = builder.start();
        record("process " + host.name + " started, pid " + host.pid());
    }

    private String render(String template, Host host) throws IOException {
        Map<String, String> values = new HashMap<>();
        values.put("nodeName", text(host.name));
        values.put("zone", text("a"));
        values.put("region", text("r"));
        values.put("ip", text("127.0.0.1"));
        values.put("listen.front", text("127.0.0.1:" + host.callers));
        values.put("listen.ready", text("127.0.0.1:" + host.ready));
        values.put("listen.directory", text("127.0.0.1:" + host.directory));
        values.put("portRange", "[" + host.link + "," + (host.link + 1) + "]");
        values.put("platform.address", text(store.address()));
        values.put("heartbeatMs", "1200");
        values.put("limits.cpuShare", "0.75");
        values.put("limits.cores", "1");
        values.put("limits.linkMbps", "1000.0");
        String[] bounds = {"revokeMs", "5000", "configApplyMs", "2000", "graceS", "8", "ttl_max_s", "5",
            "reuseAfterS", "2", "quotaWindowS", "8", "quotaOverage", "0.1", "quotaSlack", "140000",
            "budgetRatio", "0.2", "budgetWindowS", "10", "budgetSlack", "58"};
        for (int i = 0; i < bounds.length; i += 2) values.put("bounds." + bounds[i], bounds[i + 1]);
        Matcher placeholder = Pattern.compile("\\{\\{([^|}]+)\\|json\\}\\}").matcher(template);
        return placeholder.replaceAll(found -> Matcher.quoteReplacement(values.get(found.group(1))));
    }

    private static String text(String value) {
        return "\"" + value + "\"";
    }

    /** A port that is free together with the next one, below the range that outgoing connections use. */
    static synchronized int freePort() {
        while (true) {
            int port = 20_000 + RANDOM.nextInt(5_000) * 2;
            if (!GIVEN.add(port)) continue;
            try (ServerSocket one = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
                 ServerSocket next = new ServerSocket(port + 1, 1, InetAddress.getByName("127.0.0.1"))) {
                return port;
            } catch (IOException e) {
                // The port is in use: try others.
            }
        }
    }

    /** Status of the readiness call, or 0 without an answer within 1 s. */
    int readiness(Host host) {
        try (Socket socket = new Socket("127.0.0.1", host.ready)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n"));
            Http answer = Http.read(socket.getInputStream());
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Waits until all hosts are ready; exits with 2 if they aren't within 40 s. */
    void awaitReady() throws InterruptedException {
        long endMs = nowMs() + 40_000;
        while (!hosts.stream().allMatch(host -> readiness(host) == 200)) {
            if (nowMs() > endMs) exit(2, "the processes aren't ready after 40 s");
            Thread.sleep(100);
        }
        record("all processes are ready");
    }

    void signal(Host host, String name) throws IOException, InterruptedException {
        record("SIG" + name + " to " + host.name);
        new ProcessBuilder("kill", "-" + name, "" + host.pid()).inheritIO().start().waitFor();
    }

    /** Ends all processes that this deployment started, and its working files. */
    private void end() {
        for (Host host : hosts) host.process.destroyForcibly();
        for (Host host : hosts) {
            try {
                host.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }

    void exit(int status, String reason) {
        say(reason);
        System.exit(status);
    }
}
