import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Requesters of one zone send long bodies at the same time. See the claim of the case. */
public final class LongBodies {
    /** As many as the site has in a zone. */
    private static final int REQUESTERS = 30;
    private static final int BODY_BYTES = 4_000_000;
    private static final int TIMEOUT_MILLIS = 2_500;
    private static final int MOST_WAIT_MILLIS = TIMEOUT_MILLIS + 500;
    private static final int LOOKUPS_PER_SECOND = 10;
    private static final int SECONDS = 20;

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toAbsolutePath().normalize();
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]));
        Store store = new Store();
        Entries entries = new Entries(root, record);
        List<Plain> runners = new ArrayList<>();
        int exit = 2;
        try {
            store.put("op/config", Manifests.of(1, 8, "", ""));
            String[] zones = {"lulea", "umea", "kiruna"};
            for (String zone : zones) runners.add(new Plain(store, record, "defect-app", zone, 40));
            for (String zone : zones) entries.add(zone, store.address());
            entries.awaitReady(20);
            Thread.sleep(4_000);

            char[] text = new char[BODY_BYTES];
            Arrays.fill(text, 'x');
            String body = new String(text);
            Cases.Count reports = new Cases.Count();
            Cases.Count lookups = new Cases.Count();
            AtomicInteger overdue = new AtomicInteger();
            AtomicInteger unanswered = new AtomicInteger();
            Entries.Entry entry = entries.all.get(1);
            for (int i = 0; i < (isTrouble ? REQUESTERS : 2); i++) {
                Http.start("requester", () -> {
                    for (int k = 0; k < 2; k++) {
                        String id = Requester.newId();
                        reports.onSent();
                        record.line("sent %s, a report of %d bytes, to %s", id, BODY_BYTES, entry.name);
                        Requester.Answer answer = Requester.send(entry.front,
                            Requester.request("POST", "/rep/" + id, id, 20_000, "", body), 20_000);
                        reports.onEnd(answer);
                        record.line("answer to %s: %d after %.3f s %s", id, answer.status,
                            answer.endedAt - answer.sentAt, answer.detail);
                    }
                });
            }
            for (int i = 0; i < SECONDS * LOOKUPS_PER_SECOND; i++) {
                Http.start("lookup", () -> {
                    String id = Requester.newId();
                    lookups.onSent();
                    record.line("sent %s, a lookup, to %s", id, entry.name);
                    Requester.Answer answer = Requester.send(entry.front,
                        Requester.request("GET", "/look/" + id, id, 20_000, "", ""), 20_000);
                    lookups.onEnd(answer);
                    double took = answer.endedAt - answer.sentAt;
                    if (took * 1_000 > TIMEOUT_MILLIS) overdue.incrementAndGet();
                    if (took * 1_000 > MOST_WAIT_MILLIS) unanswered.incrementAndGet();
                    record.line("answer to %s: %d after %.3f s %s", id, answer.status, took, answer.detail);
                });
                Thread.sleep(1_000 / LOOKUPS_PER_SECOND);
            }
            Thread.sleep(22_000);
            record.say("reports of %d bytes: %s", BODY_BYTES, reports);
            record.say("lookups at the same entry: %s", lookups);
            record.say("lookups unanswered at TimeoutMs: %d, and half a second later: %d", overdue.get(),
                unanswered.get());
            for (String line : entries.logged("loop-late")) record.say("%s", line);
            boolean isBroken = unanswered.get() >= 8 && unanswered.get() * 2 > overdue.get();
            record.say(isBroken ? "broken: CONFIG, no final answer half a second after TimeoutMs" : "held");
            exit = isBroken ? Cases.BROKEN : Cases.HELD;
        } finally {
            entries.close();
            runners.forEach(Plain::close);
            store.close();
            record.close();
        }
        Runtime.getRuntime().halt(exit);
    }
}
