import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two processes under light traffic. Another writer puts an entry beside those of the workers, with a field
 * "version" of another type. Then the workers are replaced one after the other. Rule DRAIN: a worker gets no
 * request later than drainMs after the store has acknowledged that it is draining or gone.
 */
public final class ForeignEntry {
    private static final int WORKERS = 6;
    private static final int DRAIN_MS = 2_000;
    private static final int PAUSE_MS = 6_000;
    private static final int DEPTH = Integer.getInteger("depth", 1_000);
    private static final Map<String, Long> drainingMs = new ConcurrentHashMap<>();
    private static final Map<String, Integer> counts = new ConcurrentHashMap<>();
    private static final AtomicInteger numbers = new AtomicInteger();
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger atNew = new AtomicInteger();
    private static volatile String phase = "before";
    private static volatile boolean isOver;

    public static void main(String[] args) throws Exception {
        Deployment deployment = new Deployment(args[0], args[1]);
        Worker[] workers = new Worker[WORKERS];
        Deployment.Entry[] entries = new Deployment.Entry[WORKERS];
        for (int i = 0; i < WORKERS; i++) {
            workers[i] = worker(deployment, "old-" + i);
            entries[i] = deployment.register(workers[i], "portal", 6);
        }
        deployment.configure(10, Deployment.route("order", "unsafe", "portal", 4_000, 300, 1),
            Deployment.service("portal"));
        deployment.start("front-1");
        deployment.start("front-2");
        deployment.awaitReady();
        warmUp(deployment);
        for (Deployment.Host host : deployment.hosts) Deployment.daemon(() -> callAll(deployment, host));
        Thread.sleep(8_000);
        if (Deployment.isTrouble()) {
            deployment.store.put("servers", "other", "{\"service\":\"portal\",\"address\":\"127.0.0.1:1\","
                + "\"zone\":\"a\",\"version\":" + "[".repeat(DEPTH) + "]".repeat(DEPTH) + ",\"slots\":6,"
                + "\"state\":\"testing\",\"coldRemainingMs\":0,\"seqNo\":1}");
            deployment.record("another writer's entry is in the store");
        }
        Thread.sleep(4_000);
        phase = "during";
        for (int i = 0; i < WORKERS; i++) {
            Worker old = workers[i];
            Deployment.Entry entry = entries[i];
            deployment.register(worker(deployment, "new-" + i), "portal", 6);
            Thread.sleep(1_000);
            entry.setState("draining");
            drainingMs.put(old.id, Deployment.nowMs());
            deployment.record(old.id + " is draining, acknowledged");
            Deployment.daemon(() -> end(deployment, old, entry));
            Thread.sleep(6_000);
        }
        Thread.sleep(10_000);
        phase = "after";
        Thread.sleep(20_000);
        isOver = true;
        deployment.say("answers by phase and status: " + new java.util.TreeMap<>(counts) + "; new workers ran "
            + atNew.get());
        if (counts.getOrDefault("before 200", 0) == 0) deployment.exit(2, "nothing was served before");
        if (late.get() > 0) {
            deployment.exit(1, "DRAIN broken: " + late.get() + " requests reached a draining worker over "
                + DRAIN_MS + " ms after the acknowledgement");
        }
        deployment.exit(0, "DRAIN held");
    }

    /** Sends some requests at once, by which the processes learn how fast each worker is. */
    private static void warmUp(Deployment deployment) throws InterruptedException {
        Thread[] callers = new Thread[12];
        for (int i = 0; i < callers.length; i++) {
            Deployment.Host host = deployment.hosts.get(i % 2);
            callers[i] = new Thread(() -> {
                try (Client client = new Client(host.callers)) {
                    for (int call = 0; call < 10; call++) {
                        String id = String.format("%016x", numbers.incrementAndGet());
                        client.call("/order/x", id, 4_000, new byte[600]);
                    }
                } catch (IOException e) {
                    deployment.record("warm-up: " + e);
                }
            });
            callers[i].start();
        }
        for (Thread caller : callers) caller.join();
    }

    /** A draining worker serves on for some seconds, then ends. */
    private static void end(Deployment deployment, Worker old, Deployment.Entry entry) {
        try {
            Thread.sleep(9_000);
            entry.remove();
            old.close();
            deployment.record(old.id + " has ended");
        } catch (IOException | InterruptedException e) {
            // The case is over.
        }
    }

    private static Worker worker(Deployment deployment, String id) throws IOException {
        return new Worker(id, (connection, request) -> order(deployment, id, connection, request));
    }

    private static void order(Deployment deployment, String id, Worker.Connection connection, Http request)
        throws IOException, InterruptedException {
        Long sinceMs = drainingMs.get(id);
        if (id.startsWith("new")) atNew.incrementAndGet();
        String note = "";
        if (sinceMs != null && Deployment.nowMs() - sinceMs > DRAIN_MS) {
            late.incrementAndGet();
            note = ", DRAIN: " + (Deployment.nowMs() - sinceMs) + " ms after the acknowledgement";
        }
        deployment.record(id + " runs " + request.header("X-Request-Id") + note);
        Thread.sleep(40 + 30 * Integer.parseInt(id.substring(4)));
        String leaving = sinceMs != null ? "Server-Leaving: 1\r\n" : "";
        connection.write(Worker.answer(request, "200 OK", "X-Response-Seal: s\r\n" + leaving, "order"));
    }

    private static void callAll(Deployment deployment, Deployment.Host host) {
        while (!isOver) {
            try (Client client = new Client(host.callers)) {
                while (!isOver) {
                    String id = String.format("%016x", numbers.incrementAndGet());
                    String in = phase;
                    Client.Seen seen = client.call("/order/x", id, 4_000, new byte[600]);
                    counts.merge(in + " " + seen.status(), 1, Integer::sum);
                    deployment.record("client at " + host.name + ": " + id + " answered " + seen.status() + " "
                        + (seen.status() == 200 ? "" : seen.end() + " " + seen.body()));
                    Thread.sleep(PAUSE_MS);
                    if (seen.status() == 0 || seen.end().equals("close")) break;
                }
            } catch (IOException e) {
                deployment.record("client: no connection to " + host.name);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
