import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three runners of the application fails 45 in 100 of its requests for 6.5 seconds, with a good status check: it
 * records the report, then answers 503 without the header that says that a request has not run. Requesters take 503 as
 * a promise and send the report once more.
 */
final class FailingRunner {
    private static final double SHARE = 0.45;
    private static final long FAILING_MILLIS = 6_500;

    /** Attempts that a runner has run to the end. */
    private static final Set<String> ran = ConcurrentHashMap.newKeySet();

    /** How often each report was recorded. */
    private static final Map<String, Integer> recorded = new ConcurrentHashMap<>();

    /** Attempts that were answered with a status that promises that they have not run. */
    private static final Map<String, Integer> promised = new ConcurrentHashMap<>();
    private static final Map<Integer, Integer> statuses = new TreeMap<>();
    private static final AtomicInteger failed = new AtomicInteger();
    private static double due;
    private static volatile long failsUntil;

    public static void main(String[] arguments) throws IOException {
        Scene scene = new Scene(3);
        Manifest.put(scene.store,
            List.of(Manifest.route("reports", Manifest.REPORTS, "non_idempotent", "app", 2_500, 193, 1)),
            List.of(Manifest.application("app")));
        for (int i = 1; i <= 3; i++) {
            boolean isFirst = i == 1;
            new Runner(scene.store, "app" + i, "app", "z1", 6, (runner, request, out) -> {
                Stands.sleep(43);
                ran.add(request.attempt());
                recorded.merge(new String(request.body(), StandardCharsets.UTF_8), 1, Integer::sum);
                if (isFirst && failsNext()) {
                    failed.incrementAndGet();
                    Stands.log(runner.name + " has run " + request.attempt() + " and answers 503");
                    Http.write(out, 503, runner.echo(request, "X-Mimosatrail-Runner-Seal", "e." + request.attempt()),
                        "the report was recorded, but the crew's desk could not be told\n".getBytes());
                } else {
                    runner.answerWell(request, out);
                }
                return true;
            }).start();
        }
        scene.startEntries();
        scene.awaitReady();
        Stands.sleep(2_000);
        List<Thread> requesters = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            if (i == 30 && scene.isTroubled) failsUntil = Stands.now() + FAILING_MILLIS;
            String report = "report " + i;
            Thread requester = new Thread(() -> requester(scene, report));
            requesters.add(requester);
            requester.start();
            Stands.sleep(100);
        }
        for (Thread requester : requesters) {
            try {
                requester.join(8_000);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        judge(scene);
    }

    private static synchronized boolean failsNext() {
        if (Stands.now() >= failsUntil) return false;
        due += SHARE;
        if (due < 1) return false;
        due -= 1;
        return true;
    }

    /** Sends a report, and once more after an answer that promises that it has not run. */
    private static void requester(Scene scene, String report) {
        int first = Math.floorMod(report.hashCode(), scene.entries.size());
        for (int attempt = 0; attempt < 2; attempt++) {
            String id = scene.newAttempt();
            Entry entry = scene.entries.get((first + attempt) % scene.entries.size());
            Http.Answer answer = scene.send(entry, id, "POST", Manifest.REPORTS + "2f", "key1",
                report.getBytes(StandardCharsets.UTF_8), 2_500);
            synchronized (FailingRunner.class) {
                statuses.merge(answer.status(), 1, Integer::sum);
            }
            boolean isPromise = Set.of(408, 421, 429, 503).contains(answer.status());
            if (!isPromise) return;
            promised.put(id, answer.status());
            Stands.sleep((long) (1_000 * Double.parseDouble(answer.headers().getOrDefault("retry-after", "0.1"))));
        }
    }

    private static synchronized void judge(Scene scene) {
        long broken = promised.keySet().stream().filter(ran::contains).count();
        long twice = recorded.values().stream().filter(times -> times > 1).count();
        Stands.log("answers by status: " + statuses + "; failed by the runner after they had run: " + failed);
        scene.end(broken > 0 ? 1 : 0, broken + " requests were answered 503 though they had run; " + twice
            + " reports were recorded twice");
    }
}
