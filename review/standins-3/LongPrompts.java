import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A part of a prompt crashes runners, and prompts have many parts. See the claim of the case. */
public final class LongPrompts {
    private static final double CONTACT_SECONDS = 3;
    private static final int LAYERS = 8;

    /** The head of a request has some 11.5 KB with them, of the 16 KB that the manifest allows. */
    private static final int PARTS = Integer.getInteger("parts", 1_000);
    private static final int SESSIONS = 4;

    /** The zones of the entries, as on the site. */
    private static final String[] ENTRIES = {"lulea", "umea", "kiruna", "lulea"};
    private static final int PER_SECOND = 80;
    private static final int DEADLY_MILLIS = 2_000;
    private static final int WARM_UP_SECONDS = 6;
    private static final int SECONDS = 36;

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
            fleet.events = 30;
            fleet.eventMillis = 90;
            fleet.prefillMillis = 900;
            store.put("op/config", Manifests.of(1, LAYERS, "", ""));
            String[] zones = {"lulea", "umea", "kiruna"};
            for (int i = 0; i < 6; i++) engines.add(new Engine(fleet, zones[i % 3], "h100", 134));
            for (String zone : ENTRIES) entries.add(zone, store.address());
            entries.awaitReady(20);
            Cases.await(20, () -> engines.stream().allMatch(Engine::isServing));
            record.line("all runners serve");

            String[] histories = new String[SESSIONS];
            for (int s = 0; s < SESSIONS; s++) {
                StringBuilder history = new StringBuilder();
                for (int p = 0; p < PARTS; p++) history.append(newPart()).append(":8,");
                histories[s] = history.toString();
            }
            String deadly = newPart();
            fleet.deadlyPart = isTrouble ? deadly : null;
            List<Double> arrivals = new ArrayList<>();
            List<Double> crashes = new ArrayList<>();
            fleet.onDeadlyArrival = id -> {
                synchronized (arrivals) {
                    arrivals.add(Record.now());
                }
            };
            fleet.onCrash = engine -> {
                synchronized (crashes) {
                    crashes.add(Record.now());
                }
            };
            Cases.Count sound = new Cases.Count();
            Cases.Count others = new Cases.Count();
            double startedAt = Record.now();
            Http.start("sound", () -> {
                for (int i = 0; Record.now() - startedAt < SECONDS - 4; i++) {
                    String front = entries.all.get(i % ENTRIES.length).front;
                    String prompt = histories[Requester.random(SESSIONS)] + newPart() + ":100";
                    Http.start("request", () -> send(record, front, prompt, sound));
                    Thread.sleep(1_000 / PER_SECOND);
                }
            });
            Thread.sleep(WARM_UP_SECONDS * 1_000);
            for (int i = 0; Record.now() - startedAt < SECONDS; i++) {
                Entries.Entry entry = entries.all.get(i % ENTRIES.length);
                String prompt = histories[Requester.random(SESSIONS)] + deadly + ":8," + newPart() + ":100";
                record.line("next to %s: a request with the part", entry.name);
                Http.start("request", () -> send(record, entry.front, prompt, others));
                Thread.sleep(DEADLY_MILLIS);
            }
            Thread.sleep(3_000);
            double bound = crashes.size() < 5 ? Double.MAX_VALUE : crashes.get(4) + CONTACT_SECONDS;
            long late = arrivals.stream().filter(at -> at > bound).count();
            record.say("crashes: %d; arrivals of requests with the part: %d", crashes.size(), arrivals.size());
            record.say("of these later than ContactMs after the fifth crash: %d", late);
            record.say("sound requests: %s", sound);
            record.say("requests with the part: %s", others);
            record.say(late > 3 ? "broken: BUDGET, more than three requests with the part reached runners" : "held");
            exit = late > 3 ? Cases.BROKEN : Cases.HELD;
        } finally {
            entries.close();
            engines.forEach(Engine::close);
            store.close();
            record.close();
        }
        Runtime.getRuntime().halt(exit);
    }

    private static String newPart() {
        return Requester.newId().substring(0, 8);
    }

    private static void send(Record record, String front, String prompt, Cases.Count count) {
        String id = Requester.newId();
        count.onSent();
        record.line("sent %s to %s", id, front);
        String more = "X-Mimosatrail-Model: m0\r\nX-Mimosatrail-Token-Count: 9000,120\r\nX-Mimosatrail-Prompt-Prefix: "
            + prompt + "\r\n";
        Requester.Answer answer =
            Requester.send(front, Requester.request("POST", "/sum/1", id, 20_000, more, "{\"log\":\"" + id + "\"}"), 21_000);
        count.onEnd(answer);
        record.line("answer to %s: %d, %d events, %s, after %.3f s %s", id, answer.status, answer.events,
            answer.isComplete ? "complete" : "broken off", answer.endedAt - answer.sentAt, answer.detail);
    }
}
