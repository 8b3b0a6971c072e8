import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Like {@link DarkBriefly}, with model runners and streams that may be resumed. See the claim of the case. */
public final class DarkStreams {
    private static final double CONTACT_SECONDS = 3;
    private static final int LAYERS = 8;
    private static final int RUNNERS = 6;
    private static final int REPEATS = 16;
    private static final int PAUSE_MILLIS = 4_000;

    /** Shared by all requests. The last part of a prompt, which follows it, belongs to the request itself. */
    private static final String SHARED = "5c1e07a2:40,";
    private static final String DEADLY_PART = "91bd3f06";

    private record Arrival(String attempt, double at) {
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toAbsolutePath().normalize();
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]));
        Store store = new Store();
        Entries entries = new Entries(root, record);
        List<Engine> engines = new ArrayList<>();
        int exit = 2;
        try {
            Engine.Fleet fleet = new Engine.Fleet(store, record, "model-pool", LAYERS);
            fleet.events = 20;
            fleet.eventMillis = 40;
            fleet.prefillMillis = 60;
            fleet.restartMillis = Integer.getInteger("dark", 2_000);
            fleet.goesDark = true;
            store.put("op/config", Manifests.of(1, LAYERS, "", ""));
            String[] zones = {"lulea", "umea", "kiruna"};
            for (int i = 0; i < RUNNERS; i++) engines.add(new Engine(fleet, zones[i % zones.length], "h100", 134));
            for (String zone : zones) entries.add(zone, store.address());
            entries.awaitReady(20);
            Cases.await(20, () -> engines.stream().allMatch(Engine::isServing));
            record.line("all runners serve");

            fleet.deadlyPart = isTrouble ? DEADLY_PART : null;
            List<Arrival> arrivals = new ArrayList<>();
            List<Double> crashes = new ArrayList<>();
            fleet.onDeadlyArrival = id -> {
                synchronized (arrivals) {
                    arrivals.add(new Arrival(id, Record.now()));
                }
            };
            fleet.onCrash = engine -> {
                synchronized (crashes) {
                    crashes.add(Record.now());
                }
            };
            Cases.Count sound = new Cases.Count();
            Cases.Count deadly = new Cases.Count();
            double endsAt = Record.now() + 4 + REPEATS * PAUSE_MILLIS / 1_000.0;
            Http.start("sound", () -> {
                for (int i = 0; Record.now() < endsAt; i++) {
                    String front = entries.all.get(i % zones.length).front;
                    String own = Requester.newId();
                    Http.start("request", () -> send(record, front, own.substring(0, 8), own, sound));
                    Thread.sleep(100);
                }
            });
            Thread.sleep(4_000);
            for (int i = 0; i < REPEATS; i++) {
                String front = entries.all.get(i % zones.length).front;
                Http.start("request", () -> send(record, front, DEADLY_PART, "that no runner survives", deadly));
                Thread.sleep(PAUSE_MILLIS);
            }
            Thread.sleep(2_000);
            int late = 0;
            Set<String> retries = new HashSet<>();
            synchronized (crashes) {
                double bound = crashes.size() < 3 ? Double.MAX_VALUE : crashes.get(2) + CONTACT_SECONDS;
                synchronized (arrivals) {
                    for (Arrival arrival : arrivals) {
                        if (arrival.at <= bound) continue;
                        late++;
                        retries.add(arrival.attempt);
                    }
                }
                record.say("runners that fell silent under the request: %d", crashes.size());
            }
            record.say("arrivals later than ContactMs after the third: %d, of %d retries", late, retries.size());
            record.say("sound requests: %s", sound);
            record.say("the request that no runner survives: %s", deadly);
            boolean isBroken = retries.size() > 3;
            record.say(
                isBroken ? "broken: BUDGET, more than three retries of a request under which runners crash" : "held");
            exit = isBroken ? Cases.BROKEN : Cases.HELD;
        } finally {
            entries.close();
            engines.forEach(Engine::close);
            store.close();
            record.close();
        }
        Runtime.getRuntime().halt(exit);
    }

    private static void send(Record record, String front, String ownPart, String body, Cases.Count count) {
        String id = Requester.newId();
        count.onSent();
        record.line("sent %s, %s, to %s", id, body, front);
        String more = "X-Mimosatrail-Model: m0\r\nX-Mimosatrail-Token-Count: 800,80\r\nX-Mimosatrail-Prompt-Prefix: "
            + SHARED + ownPart + ":760\r\n";
        String text = Requester.request("POST", "/sum/1", id, 20_000, more, "{\"log\":\"" + body + "\"}");
        Requester.Answer answer = Requester.send(front, text, 21_000);
        count.onEnd(answer);
        record.line("answer to %s: %d, %d events, %s, after %.3f s %s", id, answer.status, answer.events,
            answer.isComplete ? "complete" : "broken off", answer.endedAt - answer.sentAt, answer.detail);
    }
}
