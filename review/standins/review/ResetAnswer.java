package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Crews record defects with long heater logs. A runner resets the channels of some of its answers, which have no length,
 * while the rest of the request is still on its way. Checks MIXED: no such answer may look complete.
 */
public final class ResetAnswer {
    private static final int CREWS = 4;
    private static final int LOG_BYTES = 4_000_000;
    private static final int DEADLINE_MILLIS = 2_500;
    private static final long TROUBLE_MILLIS = 5_000;
    private static final long TRAFFIC_MILLIS = 12_000;
    private static final long CALM_MILLIS = 4_000;
    private static final List<String> ZONES = List.of("lulea", "umea", "kiruna");

    /** Share of the faulty runner's answers whose channel is reset. */
    private static final double RESET_SHARE = 0.05;

    private final Journal journal;
    private final boolean isTroubled;
    private volatile long troubleFrom = Long.MAX_VALUE;
    private final AtomicInteger wrong = new AtomicInteger();
    private final Map<String, Integer> byAnswer = new TreeMap<>();

    private ResetAnswer(Journal journal, boolean isTroubled) {
        this.journal = journal;
        this.isTroubled = isTroubled;
    }

    private final class LogRunner extends EarlyRunner {
        private final boolean mayFail;
        private int answers;
        private int resets;

        LogRunner(String id, boolean mayFail) throws IOException {
            super(id, ResetAnswer.this.journal);
            this.mayFail = mayFail;
        }

        @Override
        synchronized boolean isFaulty() {
            long now = journal.millis();
            answers++;
            if (!mayFail || now < troubleFrom || now > troubleFrom + TROUBLE_MILLIS) return false;
            if (resets + 1 > answers * RESET_SHARE) return false;
            resets++;
            return true;
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        Path temporary = Files.createTempDirectory("review");
        int result = 2;
        try (Journal journal = new Journal(Path.of(arguments[0], "record.txt")); Store store = new Store()) {
            result = new ResetAnswer(journal, isTroubled).run(store, temporary) ? 0 : 1;
        } catch (Exception e) {
            System.out.println("could not run: " + e);
        }
        System.exit(result);
    }

    private boolean run(Store store, Path temporary) throws Exception {
        store.put("op/config", Manifests.manifest(1,
            Manifests.route("defects", "non_idempotent", 2_500, 193, "defects", "")));
        List<Entry> entries = new ArrayList<>();
        for (String zone : ZONES) entries.add(new Entry("edge-" + zone + "-1", zone, store.address(), temporary));
        for (String zone : ZONES) {
            new LogRunner("i-" + zone, isTroubled && zone.equals("lulea")).register(store, zone);
        }
        for (Entry entry : entries) entry.awaitReady();
        troubleFrom = journal.millis() + CALM_MILLIS;
        long until = journal.millis() + TRAFFIC_MILLIS;
        List<Thread> crews = new ArrayList<>();
        for (int crew = 0; crew < CREWS; crew++) {
            int number = crew;
            Thread thread = new Thread(() -> work(number, entries.get(number % entries.size()), until));
            thread.start();
            crews.add(thread);
        }
        for (Thread crew : crews) crew.join();
        journal.say("requests by answer: " + byAnswer + ", incomplete answers that looked complete: " + wrong);
        return wrong.get() == 0;
    }

    private void work(int crew, Entry entry, long until) {
        byte[] log = "heater log line\n".repeat(LOG_BYTES / 16).getBytes();
        try (Requester requester = new Requester(entry.front)) {
            for (int count = 0; journal.millis() < until; count++) {
                String id = String.format("%02x%06x", crew, count);
                journal.add(id + " sent to " + entry.front + ", " + log.length + " bytes");
                String answer;
                try {
                    Requester.Answer got = requester.send("POST", "/defects/report", id, DEADLINE_MILLIS, "", log);
                    answer = Integer.toString(got.status());
                    String whole = EarlyRunner.body(id);
                    journal.add(id + " answered " + answer + ", " + got.body().length + " bytes");
                    if (got.status() == 200 && !got.text().equals(whole)) {
                        wrong.incrementAndGet();
                        journal.say("MIXED: " + id + " got a complete 200 with " + got.body().length + " of "
                            + whole.length() + " bytes, " + got.head().fields());
                    }
                } catch (IOException e) {
                    answer = "no complete answer";
                    journal.add(id + " got no complete answer: " + e.getMessage());
                }
                count(answer);
            }
        }
    }

    private synchronized void count(String answer) {
        byAnswer.merge(answer, 1, Integer::sum);
    }
}
