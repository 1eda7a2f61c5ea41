import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two processes under an even load. Another writer puts one entry beside those of the workers, whose address is no
 * address. Rule CONFIG: requests that are unanswered at their route's timeoutMs have a final answer 0.5 s later.
 */
public final class AddressEntry {
    private static final int LENGTH = Integer.getInteger("length", 30_000);
    private static final int TIMEOUT_MS = 1_000;
    private static final int DEADLINE_MS = 4_000;
    private static final AtomicInteger numbers = new AtomicInteger();
    private static final AtomicInteger unready = new AtomicInteger();
    private static final List<Long> orders = new ArrayList<>();
    private static volatile boolean isOver;

    public static void main(String[] args) throws Exception {
        Deployment deployment = new Deployment(args[0], args[1]);
        for (int i = 0; i < 3; i++) {
            deployment.register(new Worker("portal-" + i, AddressEntry::order), "portal", 6);
        }
        deployment.configure(10, Deployment.route("order", "safe", "portal", TIMEOUT_MS, 300, 1),
            Deployment.service("portal"));
        deployment.start("front-1");
        deployment.start("front-2");
        deployment.awaitReady();
        Thread.sleep(2_000);
        for (Deployment.Host host : deployment.hosts) {
            for (int i = 0; i < 4; i++) Deployment.daemon(() -> callAll(deployment, host));
            Deployment.daemon(() -> watch(deployment, host));
        }
        Thread.sleep(8_000);
        if (Deployment.isTrouble()) {
            deployment.store.put("servers", "other", "{\"service\":\"portal\",\"address\":\"" + ":".repeat(LENGTH)
                + "x:80\",\"zone\":\"a\",\"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,"
                + "\"seqNo\":1}");
            deployment.record("another writer's entry is in the store");
        }
        Thread.sleep(60_000);
        isOver = true;
        Thread.sleep(5_000);
        int unanswered = 0;
        int late = 0;
        for (long ms : orders) {
            if (ms > TIMEOUT_MS) unanswered++;
            if (ms > TIMEOUT_MS + 500) late++;
        }
        deployment.say(orders.size() + " orders; unanswered at timeoutMs: " + unanswered + ", 0.5 s later: " + late
            + "; readiness calls without an answer within 1 s: " + unready.get());
        if (orders.size() < 200) deployment.exit(2, "the load was hardly served");
        if (late >= 8 && late * 2 > unanswered) deployment.exit(1, "CONFIG broken");
        deployment.exit(0, "CONFIG held");
    }

    private static void order(Worker.Connection connection, Http request) throws IOException, InterruptedException {
        Thread.sleep(86);
        connection.write(Worker.answer(request, "200 OK", "X-Response-Seal: s\r\n", "order"));
    }

    /** Asks once every 200 ms whether the process is ready. */
    private static void watch(Deployment deployment, Deployment.Host host) {
        while (!isOver) {
            long startMs = Deployment.nowMs();
            int status = deployment.readiness(host);
            long tookMs = Deployment.nowMs() - startMs;
            if (status == 0) unready.incrementAndGet();
            if (status != 200) deployment.record(host.name + " ready: " + status + " after " + tookMs + " ms");
            try {
                Thread.sleep(200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void callAll(Deployment deployment, Deployment.Host host) {
        while (!isOver) {
            try (Client client = new Client(host.callers)) {
                while (!isOver) {
                    String id = String.format("%016x", numbers.incrementAndGet());
                    long startMs = Deployment.nowMs();
                    Client.Seen seen = client.call("/order/x", id, DEADLINE_MS, new byte[600]);
                    long tookMs = Deployment.nowMs() - startMs;
                    synchronized (orders) {
                        orders.add(tookMs);
                    }
                    deployment.record(host.name + " " + id + " ended after " + tookMs + " ms: " + seen.status() + " "
                        + seen.end());
                    if (seen.status() == 0 || seen.end().equals("close")) break;
                    Thread.sleep(100);
                }
            } catch (IOException e) {
                deployment.record("no connection to " + host.name + ": " + e.getMessage());
                try {
                    Thread.sleep(100);
                } catch (InterruptedException i) {
                    return;
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
