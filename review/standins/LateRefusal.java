import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two processes before workers that turn a part of the requests away as full, and that send a second copy of some
 * of their answers, late, where the next response on the connection is due. Rules TWICE and REFUSED: an unsafe
 * request runs at most once, and one that was answered 503 has not run.
 */
public final class LateRefusal {
    private static final double SHED = 0.45;
    private static final double COPIED = 0.03;
    private static final int CALLERS = Integer.getInteger("callers", 2);
    private static final int WORKERS = Integer.getInteger("workers", 1);
    private static final int LOAD_MS = Integer.getInteger("load", 95_000);
    private static final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private static final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private static final AtomicInteger numbers = new AtomicInteger();
    private static final AtomicInteger given = new AtomicInteger();
    private static final AtomicInteger copies = new AtomicInteger();
    private static final AtomicInteger refusals = new AtomicInteger();
    private static volatile boolean isOver;
    private static volatile boolean isTroubled;

    public static void main(String[] args) throws Exception {
        Deployment deployment = new Deployment(args[0], args[1]);
        for (int i = 0; i < WORKERS; i++) {
            String id = "portal-" + i;
            boolean copies = i == 0;
            Random random = new Random(i);
            deployment.register(
                new Worker(id, (connection, request) -> serve(deployment, connection, request, id, copies, random)),
                "portal", 6);
        }
        deployment.configure(10, Deployment.route("order", "unsafe", "portal", 4_000, 300, 1),
            Deployment.service("portal"));
        deployment.start("front-1");
        deployment.start("front-2");
        deployment.awaitReady();
        Thread.sleep(1_000);
        for (Deployment.Host host : deployment.hosts) {
            for (int i = 0; i < CALLERS; i++) Deployment.daemon(() -> callAll(deployment, host));
        }
        Thread.sleep(2_000);
        isTroubled = Deployment.isTrouble();
        Thread.sleep(LOAD_MS);
        isTroubled = false;
        Thread.sleep(1_000);
        isOver = true;
        Thread.sleep(1_500);
        int twice = 0;
        int refused = 0;
        for (var run : runs.entrySet()) {
            int status = answers.getOrDefault(run.getKey(), 0);
            if (run.getValue().get() > 1) {
                twice++;
                deployment.record("TWICE: " + run.getKey() + " ran " + run.getValue() + " times, answered " + status);
            }
            if (status == 503 || status == 429) {
                refused++;
                deployment.record("REFUSED: " + run.getKey() + " was answered " + status + " and has run");
            }
        }
        deployment.say(answers.size() + " requests; workers gave " + given.get() + " answers, " + refusals.get()
            + " of them 503, and " + copies.get() + " late copies of these");
        if (answers.isEmpty()) deployment.exit(2, "nothing was answered");
        if (twice + refused > 0) {
            deployment.exit(1, "TWICE broken: " + twice + " requests; REFUSED broken: " + refused + " requests");
        }
        deployment.exit(0, "TWICE and REFUSED held");
    }

    private static void serve(
        Deployment deployment, Worker.Connection connection, Http request, String id, boolean isCopying, Random random
    ) throws IOException, InterruptedException {
        String requestId = request.header("X-Request-Id");
        byte[] extra = connection.extra;
        connection.extra = null;
        if (extra != null) {
            copies.incrementAndGet();
            connection.write(extra);
            deployment.record(id + " reads " + requestId + " and sends the late copy of "
                + new String(extra).split("\r\n")[1]);
        }
        given.incrementAndGet();
        boolean sheds;
        boolean copied;
        synchronized (random) {
            sheds = isTroubled && random.nextDouble() < SHED;
            // Only refusals are copied, as many as the share of all answers allows.
            copied = sheds && isCopying && random.nextDouble() < COPIED / SHED;
        }
        byte[] answer;
        if (sheds) {
            refusals.incrementAndGet();
            answer = Worker.answer(request, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
        } else {
            runs.computeIfAbsent(requestId, key -> new AtomicInteger()).incrementAndGet();
            deployment.record(id + " runs " + requestId);
            Thread.sleep(86);
            answer = Worker.answer(request, "200 OK", "X-Response-Seal: s\r\n", "order " + requestId);
        }
        connection.write(answer);
        if (copied) connection.extra = answer;
    }

    private static void callAll(Deployment deployment, Deployment.Host host) {
        while (!isOver) {
            try (Client client = new Client(host.callers)) {
                while (!isOver) {
                    String id = String.format("%016x", numbers.incrementAndGet());
                    Client.Seen seen = client.call("/order/x", id, 4_000, new byte[600]);
                    answers.put(id, seen.status());
                    deployment.record("client: " + id + " answered " + seen.status() + " " + seen.end());
                    if (seen.status() == 0 || seen.end().equals("close")) break;
                    Thread.sleep(100);
                }
            } catch (IOException | InterruptedException e) {
                return;
            }
        }
    }
}
