import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A request under which each runner falls silent, to be back soon. See the claim of the case. */
public final class DarkBriefly {
    private static final double CONTACT_SECONDS = 3;
    private static final int LAYERS = 8;
    private static final int RUNNERS = 6;
    private static final int WORK_MILLIS = 40;
    private static final int REPEATS = 16;
    private static final int PAUSE_MILLIS = 4_000;
    private static final long DARK_MILLIS = Long.getLong("dark", 2_000);
    private static final String DEADLY = "{\"report\":\"that no runner survives\"}";

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toAbsolutePath().normalize();
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]));
        Store store = new Store();
        Entries entries = new Entries(root, record);
        List<DarkPlain> runners = new ArrayList<>();
        int exit = 2;
        try {
            store.put("op/config", Manifests.of(1, LAYERS, "", ""));
            String[] zones = {"lulea", "umea", "kiruna"};
            Map<String, Double> reached = new LinkedHashMap<>();
            List<Double> crashes = new ArrayList<>();
            for (int i = 0; i < RUNNERS; i++) {
                DarkPlain runner = new DarkPlain(store, record, "defect-app", zones[i % zones.length], WORK_MILLIS,
                    Boolean.getBoolean("keepsId"));
                runner.onRun = (body, attempt) -> {
                    if (!body.equals(DEADLY)) return;
                    synchronized (reached) {
                        reached.putIfAbsent(attempt, Record.now());
                    }
                };
                runner.onWorked = (body, attempt) -> {
                    if (isTrouble && body.equals(DEADLY)) crash(runner, crashes);
                };
                runners.add(runner);
            }
            for (String zone : zones) entries.add(zone, store.address());
            entries.awaitReady(20);
            Cases.Count sound = new Cases.Count();
            Cases.Count deadly = new Cases.Count();
            Cases.await(20, () -> entries.all.stream().allMatch(
                entry -> report(record, entry.front, "{\"ready\":true}", new Cases.Count()).status == 200));
            record.line("all entries serve");

            double endsAt = Record.now() + 4 + REPEATS * PAUSE_MILLIS / 1_000.0;
            Http.start("sound", () -> {
                for (int i = 0; Record.now() < endsAt; i++) {
                    String front = entries.all.get(i % zones.length).front;
                    Http.start("request",
                        () -> report(record, front, "{\"log\":\"" + Requester.newId() + "\"}", sound));
                    Thread.sleep(100);
                }
            });
            Thread.sleep(4_000);
            for (int i = 0; i < REPEATS; i++) {
                String front = entries.all.get(i % zones.length).front;
                Http.start("request", () -> report(record, front, DEADLY, deadly));
                Thread.sleep(PAUSE_MILLIS);
            }
            long late;
            synchronized (crashes) {
                double bound = crashes.size() < 3 ? Double.MAX_VALUE : crashes.get(2) + CONTACT_SECONDS;
                synchronized (reached) {
                    late = reached.values().stream().filter(at -> at > bound).count();
                }
                record.say("runners that fell silent under the request: %d", crashes.size());
            }
            record.say("retries that reached runners later than ContactMs after the third: %d", late);
            record.say("sound requests: %s", sound);
            record.say("the request that no runner survives: %s", deadly);
            record.say(late > 3 ? "broken: BUDGET, more than three retries of a request under which runners crash" : "held");
            exit = late > 3 ? Cases.BROKEN : Cases.HELD;
        } finally {
            entries.close();
            runners.forEach(DarkPlain::close);
            store.close();
            record.close();
        }
        Runtime.getRuntime().halt(exit);
    }

    private static void crash(DarkPlain runner, List<Double> crashes) {
        synchronized (crashes) {
            try {
                if (runner.goDark(DARK_MILLIS)) crashes.add(Record.now());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static Requester.Answer report(Record record, String front, String body, Cases.Count count) {
        String id = Requester.newId();
        count.onSent();
        record.line("sent %s, %s, to %s", id, body, front);
        Requester.Answer answer =
            Requester.send(front, Requester.request("POST", "/rep/1", id, 2_500, "", body), 3_500);
        count.onEnd(answer);
        record.line("answer to %s: %d after %.3f s %s", id, answer.status, answer.endedAt - answer.sentAt,
            answer.status == 200 ? "" : answer.detail);
        return answer;
    }
}
