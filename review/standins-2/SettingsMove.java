import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's store, which has an address for each entry, moves to another one for one of four entries. Its settings
 * file names the new address, and it gets SIGHUP. The store goes on answering at the old address for ten seconds more.
 * Later a key is taken away.
 */
final class SettingsMove {
    private static final long APPLY_MILLIS = 2_000;

    /** Attempts with the key that was taken away that were sent later than the bound. */
    private static final Set<String> late = ConcurrentHashMap.newKeySet();
    private static final Set<String> ran = ConcurrentHashMap.newKeySet();
    private static final Map<Integer, Integer> lateStatuses = new TreeMap<>();

    public static void main(String[] arguments) throws IOException {
        Scene scene = new Scene(4);
        put(scene, 7, List.of("key1", "key2"));
        for (int i = 1; i <= 3; i++) {
            new Runner(scene.store, "app" + i, "app", "z1", 6, (runner, request, out) -> {
                ran.add(request.attempt());
                Stands.sleep(43);
                runner.answerWell(request, out);
                return true;
            }).start();
        }
        scene.startEntries();
        scene.awaitReady();
        scene.soundTraffic(6, "key1");
        Stands.sleep(3_000);
        List<Integer> left = new ArrayList<>();
        for (Entry entry : scene.isTroubled ? scene.entries.subList(0, 1) : List.<Entry>of()) {
            left.add(entry.storePort());
            int port = scene.store.listen();
            Stands.log("the store answers " + entry.name + " at port " + port + " too; its settings file changes");
            entry.changeStore(port);
            Stands.sleep(2_000);
        }
        Stands.sleep(10_000);
        for (int port : left) {
            scene.store.stopListening(port);
            Stands.log("the store doesn't answer at port " + port + " any more");
        }
        Stands.sleep(5_000);
        put(scene, 8, List.of("key1"));
        long confirmedAt = Stands.now();
        Stands.log("version 8 is confirmed; it doesn't hold key2");
        Stands.sleepUntil(confirmedAt + APPLY_MILLIS + 1_000);
        List<Thread> requesters = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Entry entry = scene.entries.get(i % scene.entries.size());
            String report = "report with a key that was taken away " + i;
            Thread requester = new Thread(() -> sendLate(scene, entry, report));
            requesters.add(requester);
            requester.start();
            Stands.sleep(500);
        }
        for (Thread requester : requesters) {
            try {
                requester.join(4_000);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        long broken = late.stream().filter(ran::contains).count();
        Stands.log("answers to requests with the key that was taken away: " + lateStatuses);
        scene.end(broken > 0 ? 1 : 0, broken + " of " + late.size()
            + " requests ran with a key that was taken away more than 3 s before they were sent");
    }

    private static void put(Scene scene, int version, List<String> keys) {
        Manifest.put(scene.store, version, keys, List.of(
            Manifest.route("reports", Manifest.REPORTS, "non_idempotent", "app", 2_500, 193, 1),
            Manifest.route("lookups", Manifest.LOOKUPS, "idempotent", "app", 2_500, 193, 2)),
            List.of(Manifest.application("app")));
    }

    private static void sendLate(Scene scene, Entry entry, String report) {
        String attempt = scene.newAttempt();
        late.add(attempt);
        Http.Answer answer = scene.send(entry, attempt, "POST", Manifest.REPORTS + "2f", "key2",
            report.getBytes(StandardCharsets.UTF_8), 2_500);
        synchronized (SettingsMove.class) {
            lateStatuses.merge(answer.status(), 1, Integer::sum);
        }
    }
}
