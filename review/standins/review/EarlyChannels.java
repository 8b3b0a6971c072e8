package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The process of an entry is killed and started again while crews send reports with long logs over kept channels. Checks
 * DENIED: proper requests that every manifest allows are not ended with a 4xx.
 */
public final class EarlyChannels {
    private static final int CREWS = 12;
    private static final int LOG_BYTES = 2_000_000;
    private static final int DEADLINE_MILLIS = 2_500;
    private static final int PAUSE_MILLIS = 250;
    private static final long KILL_AFTER_MILLIS = 4_000;
    private static final long RESTART_MILLIS = 500;
    private static final long TRAFFIC_MILLIS = 20_000;

    /** A machine is in touch again this long after a start of its processes. */
    private static final long CONTACT_MILLIS = 3_000;

    private final Journal journal;
    private volatile long inTouchFrom;
    private int requests;
    private int denied;
    private final Map<String, Integer> byAnswer = new TreeMap<>();

    private EarlyChannels(Journal journal) {
        this.journal = journal;
    }

    public static void main(String[] arguments) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        Path temporary = Files.createTempDirectory("review");
        int result = 2;
        try (Journal journal = new Journal(Path.of(arguments[0], "record.txt")); Store store = new Store()) {
            result = new EarlyChannels(journal).run(store, temporary, isTroubled) ? 0 : 1;
        } catch (Exception e) {
            System.out.println("could not run: " + e);
        }
        System.exit(result);
    }

    private boolean run(Store store, Path temporary, boolean isTroubled) throws Exception {
        Runs runs = new Runs();
        store.put("op/config", Manifests.manifest(1,
            Manifests.route("defects", "non_idempotent", 2_500, 193, "defects", "")));
        for (String zone : List.of("lulea", "umea", "kiruna")) {
            new Runner("i-" + zone, 6, 43, runs, journal).register(store, zone);
        }
        Entry entry = new Entry("edge-lulea-1", "lulea", store.address(), temporary);
        entry.awaitReady();
        inTouchFrom = journal.millis() + CONTACT_MILLIS;
        long until = journal.millis() + TRAFFIC_MILLIS;
        List<Thread> crews = new ArrayList<>();
        for (int crew = 0; crew < CREWS; crew++) {
            int number = crew;
            Thread thread = new Thread(() -> work(number, entry.front, until));
            thread.start();
            crews.add(thread);
        }
        if (isTroubled) {
            Thread.sleep(KILL_AFTER_MILLIS);
            journal.add("the process is killed");
            entry.close();
            entry.awaitEnd(1_000);
            Thread.sleep(RESTART_MILLIS);
            entry.startAgain();
            journal.add("the process is started again");
            inTouchFrom = journal.millis() + CONTACT_MILLIS;
        }
        for (Thread crew : crews) crew.join();
        int allowed = 5 + requests / 500;
        journal.say("requests by answer: " + byAnswer + "; proper ones denied by the entry in touch: " + denied
            + " of " + requests + ", allowed: " + allowed);
        return denied <= allowed;
    }

    private void work(int crew, int port, long until) {
        byte[] log = "heater log line\n".repeat(LOG_BYTES / 16).getBytes();
        try (Requester requester = new Requester(port)) {
            for (int count = 0; journal.millis() < until; count++) {
                String id = String.format("%02x%06x", crew, count);
                byte[] body = count % 2 == 0 ? log : "short".getBytes();
                long sentAt = journal.millis();
                String answer;
                try {
                    answer = Integer.toString(
                        requester.send("POST", "/defects/report", id, DEADLINE_MILLIS, "", body).status());
                } catch (IOException e) {
                    answer = "no answer";
                }
                journal.add(id + ", " + body.length + " bytes, sent at " + sentAt + ": " + answer);
                note(answer, sentAt);
                pause(answer.equals("no answer") ? PAUSE_MILLIS / 5 : PAUSE_MILLIS);
            }
        }
    }

    private synchronized void note(String answer, long sentAt) {
        requests++;
        byAnswer.merge(answer, 1, Integer::sum);
        if (answer.equals("413") && sentAt >= inTouchFrom) denied++;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
