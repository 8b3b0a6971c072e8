import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A request that crashes each runner that begins to run it. Its requester doesn't wait and sends it three more times at
 * once. All runners go down together each time, and are back after three seconds.
 */
final class CrashBurst {
    private static final int RUNNERS = 3;
    private static final int COPIES = 4;
    private static final List<Long> crashes = new ArrayList<>();

    /** When the attempts of the harmful request began to run. */
    private static final Map<String, Long> runs = new LinkedHashMap<>();

    public static void main(String[] arguments) throws IOException {
        Scene scene = new Scene(3);
        Manifest.put(scene.store, List.of(
            Manifest.route("reports", Manifest.REPORTS, "non_idempotent", "app", 2_500, 193, 1),
            Manifest.route("lookups", Manifest.LOOKUPS, "idempotent", "app", 2_500, 193, 2)),
            List.of(Manifest.application("app")));
        List<Runner> runners = new ArrayList<>();
        for (int i = 1; i <= RUNNERS; i++) {
            runners.add(new Runner(scene.store, "app" + i, "app", "z1", 6, (runner, request, out) -> {
                boolean isHarmful = request.path().startsWith(Manifest.LOOKUPS + "harmful");
                if (isHarmful) onReached(request);
                Stands.sleep(isHarmful ? 10 : 40);
                if (isHarmful && scene.isTroubled) onCrash(runner, request);
                if (!runner.isUp) return false;
                runner.answerWell(request, out);
                return true;
            }));
        }
        runners.forEach(Runner::start);
        scene.startEntries();
        scene.awaitReady();
        scene.soundTraffic(6, "key1");
        Stands.sleep(3_000);
        for (int round = 1; round <= 4; round++) {
            Stands.log("round " + round);
            for (int copy = 0; copy < COPIES; copy++) {
                Entry entry = scene.entries.get(round % scene.entries.size());
                Stands.start(() -> sendHarmful(scene, entry));
            }
            Stands.sleep(8_000);
        }
        judge(scene);
    }

    private static synchronized void onReached(Runner.Request request) {
        runs.putIfAbsent(request.attempt(), Stands.now());
    }

    /** The runner goes down once, though two attempts may be on it. */
    private static synchronized void onCrash(Runner runner, Runner.Request request) {
        if (!runner.isUp) return;
        crashes.add(Stands.now());
        runner.crash(3_000, "attempt " + request.attempt());
    }

    private static void sendHarmful(Scene scene, Entry entry) {
        String attempt = scene.newAttempt();
        scene.send(entry, attempt, "GET", Manifest.LOOKUPS + "harmful", "key2", new byte[0], 2_500);
    }

    private static synchronized void judge(Scene scene) {
        if (crashes.size() < 3) scene.end(0, "fewer than three crashes");
        long bound = crashes.get(2) + Scene.CONTACT_MILLIS;
        long late = runs.values().stream().filter(at -> at > bound).count();
        scene.end(late > 3 ? 1 : 0, late + " retries reached runners later than ContactMs after the third crash; "
            + crashes.size() + " crashes in all");
    }
}
