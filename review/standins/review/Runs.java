package review;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** How often each request was run, over all runners. */
final class Runs {
    private final Map<String, Integer> counts = new ConcurrentHashMap<>();

    void add(String request) {
        counts.merge(request, 1, Integer::sum);
    }

    int of(String request) {
        return counts.getOrDefault(request, 0);
    }

    Map<String, Integer> all() {
        return counts;
    }
}
