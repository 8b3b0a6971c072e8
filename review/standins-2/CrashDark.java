import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A request that crashes each runner that begins to run it. The runner goes dark: its channels hang until it is back
 * after four seconds. The request comes again every five seconds, at any entry.
 */
final class CrashDark {
    private static final long DOWN_MILLIS = 4_000;
    private static final long REPEAT_MILLIS = 5_000;
    private static final int REPEATS = 16;

    private static final List<Long> crashes = new ArrayList<>();
    private static final Map<String, Long> reached = new LinkedHashMap<>();

    public static void main(String[] arguments) throws IOException {
        Scene scene = new Scene(3);
        Manifest.put(scene.store, List.of(
            Manifest.route("reports", Manifest.REPORTS, "non_idempotent", "app", 2_500, 193, 1),
            Manifest.route("lookups", Manifest.LOOKUPS, "idempotent", "app", 2_500, 193, 2)),
            List.of(Manifest.application("app")));
        for (int i = 1; i <= 3; i++) {
            new Runner(scene.store, "app" + i, "app", "z1", 6, (runner, request, out) -> {
                boolean isHarmful = request.path().startsWith(Manifest.REPORTS + "harmful");
                if (isHarmful) onReached(request);
                Stands.sleep(40);
                if (isHarmful && scene.isTroubled) onCrash(runner, request);
                while (!runner.isUp) Stands.sleep(100);
                runner.answerWell(request, out);
                return true;
            }).start();
        }
        scene.startEntries();
        scene.awaitReady();
        scene.soundTraffic(6, "key1");
        Stands.sleep(4_000);
        for (int i = 0; i < REPEATS; i++) {
            Entry entry = scene.entries.get(i % scene.entries.size());
            byte[] body = "a report that no runner survives".getBytes(StandardCharsets.UTF_8);
            Stands.start(() -> scene.send(entry, scene.newAttempt(), "POST", Manifest.REPORTS + "harmful", "key2", body,
                2_500));
            Stands.sleep(REPEAT_MILLIS);
        }
        judge(scene);
    }

    private static synchronized void onReached(Runner.Request request) {
        reached.putIfAbsent(request.attempt(), Stands.now());
    }

    private static synchronized void onCrash(Runner runner, Runner.Request request) {
        if (!runner.isUp) return;
        crashes.add(Stands.now());
        runner.goDark(DOWN_MILLIS, "attempt " + request.attempt());
    }

    private static synchronized void judge(Scene scene) {
        if (crashes.size() < 3) scene.end(0, "fewer than three crashes");
        long bound = crashes.get(2) + Scene.CONTACT_MILLIS;
        long late = reached.values().stream().filter(at -> at > bound).count();
        scene.end(late > 3 ? 1 : 0, late + " retries reached runners later than ContactMs after the third crash; "
            + crashes.size() + " crashes in all");
    }
}
