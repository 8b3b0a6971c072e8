import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer puts an entry without some fields among those of the runners. See the claim of the case. */
public final class ForeignEntry {
    private static final int PER_SECOND = 6;
    private static final int SECONDS = 30;

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
            for (String zone : new String[]{"lulea", "kiruna"}) runners.add(new Plain(store, record, "defect-app", zone, 40));
            for (String zone : zones) entries.add(zone, store.address());
            entries.awaitReady(20);
            Thread.sleep(3_000);

            Set<String> foreignRuns = ConcurrentHashMap.newKeySet();
            Http.Server foreign = new Http.Server(0, (connection, request) -> {
                String attempt = request.header("X-Mimosatrail-Attempt-Id");
                if (attempt != null) foreignRuns.add(attempt);
                record.line("the server of the other writer runs %s %s", request.first, attempt);
                connection.answer(200, "Content-Type: text/plain\r\n", "done\n");
            });
            if (isTrouble) {
                // Without Version, ColdRemainingMs, Sequence and born.
                store.put("servers/inventory-7", "{\"Service\":\"defect-app\",\"Address\":\"" + foreign.address()
                    + "\",\"Zone\":\"umea\",\"Slots\":6,\"State\":\"ready\"}");
                record.line("another writer has put servers/inventory-7, which lacks fields, with %s", foreign.address());
            }
            Cases.Count reports = new Cases.Count();
            Cases.Count lookups = new Cases.Count();
            AtomicInteger lost = new AtomicInteger();
            for (int i = 0; i < SECONDS * PER_SECOND; i++) {
                String front = entries.all.get(i % entries.all.size()).front;
                boolean isReport = i % 6 < 4;
                int number = i;
                Http.start("request", () -> {
                    String id = Requester.newId();
                    Cases.Count count = isReport ? reports : lookups;
                    count.onSent();
                    record.line("sent %s, a %s, to %s", id, isReport ? "report" : "lookup", front);
                    String text = isReport
                        ? Requester.request("POST", "/rep/" + number, id, 2_500, "", "{\"defect\":" + number + "}")
                        : Requester.request("GET", "/look/" + number, id, 2_500, "", "");
                    Requester.Answer answer = Requester.send(front, text, 4_000);
                    count.onEnd(answer);
                    boolean isRecorded = runners.stream().anyMatch(runner -> runner.runs.contains(id));
                    if (isReport && !isRecorded && answer.status != 503) lost.incrementAndGet();
                    record.line("answer to %s: %d after %.3f s, run by a runner: %s %s", id, answer.status,
                        answer.endedAt - answer.sentAt, isRecorded, answer.detail);
                });
                Thread.sleep(1_000 / PER_SECOND);
            }
            Thread.sleep(3_000);
            record.say("reports: %s", reports);
            record.say("lookups: %s", lookups);
            record.say("requests run by the server of the other writer: %d", foreignRuns.size());
            record.say("reports that no runner got, and whose callers weren't told that they have not run: %d", lost.get());
            boolean isBroken = !foreignRuns.isEmpty();
            record.say(isBroken ? "broken: ROUTE, requests ran where no manifest allows it" : "held");
            foreign.close();
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
