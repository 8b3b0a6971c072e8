import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;

/** A model runner, which starts empty and takes layers by order. */
final class Engine extends Runner {
    static final int LAYERS = 20;
    private static final double LOAD_SECONDS = 2.0;
    private final String kind;
    private int first;
    private int end;
    private long sequence;
    private boolean isBusy;

    Engine(Store store, String name, String zone, String kind, Work work) {
        super(store, name, "model", zone, 134, work);
        this.kind = kind;
    }

    @Override
    synchronized void start() {
        first = 0;
        end = 0;
        sequence = 0;
        isBusy = false;
        super.start();
    }

    private synchronized List<Object> layers() {
        return first == end ? List.of() : List.of(Json.object("Source", first, "To", end, "Version", 1));
    }

    private static List<Object> models() {
        return List.of(Json.object("Name", "m0", "Version", 1, "Adapters", List.of()));
    }

    @Override
    Map<String, Object> moreFields() {
        return Json.object("Stage", "colocated", "Models", models(), "RouteKind", kind, "Layers", layers());
    }

    /** True if this runner holds its part of the path that the request names. */
    synchronized boolean holdsPart(Request request) {
        String path = request.headers().get("x-mimosatrail-hop-count");
        if (path == null) return first == 0 && end == LAYERS;
        String[] range = path.split(",")[0].split("=")[1].split("-");
        return Integer.parseInt(range[0]) >= first && Integer.parseInt(range[1]) <= end;
    }

    @Override
    boolean control(Request request, OutputStream out) throws IOException {
        if (request.path().equals("/report")) {
            Map<String, Object> report = Json.object("Stage", "colocated", "Models", models(), "Busy", isBusy,
                "Sequence", sequence, "Queued", 0, "Active", 0, "KvUsed", 0, "KvTotal", 69791 * LAYERS, "Handles", 0,
                "Layers", layers(), "RouteKind", kind, "pace", 1.0, "StalledServers", List.of());
            Http.write(out, 200, Map.of("Content-Type", "application/json"), Json.write(report).getBytes());
            return true;
        }
        if (!request.path().equals("/order")) return false;
        Http.write(out, order(request), Map.of(), new byte[0]);
        return true;
    }

    private synchronized int order(Request request) {
        Map<?, ?> order = (Map<?, ?>) Json.read(new String(request.body()));
        if (!"place".equals(order.get("Operation"))) return 404;
        if (order.get("Expected") instanceof Number expected && expected.longValue() != sequence) return 409;
        if (isBusy) return 409;
        int from = ((Number) order.get("Source")).intValue();
        int to = ((Number) order.get("To")).intValue();
        if (from == first && to == end) return 200;
        sequence++;
        isBusy = true;
        String boot = id;
        Stands.after((long) (1_000 * LOAD_SECONDS * (to - from) / LAYERS), () -> onLoaded(boot, from, to));
        return 202;
    }

    private synchronized void onLoaded(String boot, int from, int to) {
        if (!boot.equals(id) || !isUp) return;
        first = from;
        end = to;
        isBusy = false;
        Stands.log("runner " + name + " holds layers " + from + " to " + to);
        register();
    }

    /** Streams [events] events, one each [gapMillis]. */
    void stream(Request request, OutputStream out, int events, long gapMillis) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        echo(request, "X-Mimosatrail-Runner-Seal", "s." + request.attempt(), "X-Mimosatrail-Weight-Versions", "1")
            .forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        out.write(head.append("Transfer-Encoding: chunked\r\n\r\n").toString().getBytes());
        int from = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
        for (int i = from + 1; i <= events; i++) {
            if (!isUp) return;
            byte[] event = ("id: " + i + "\ndata: token " + i + "\n\n").getBytes();
            out.write((Integer.toHexString(event.length) + "\r\n").getBytes());
            out.write(event);
            out.write("\r\n".getBytes());
            out.flush();
            Stands.sleep(gapMillis);
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
    }

    static Map<String, Object> service() {
        Map<String, Object> engine = Json.object("Slots", 134, "KvCapacityTokens", 69791, "KvBytes", 845373,
            "LinkMbps", 480000.0, "Stride", 2,
            "Models", List.of(Json.object("Name", "m0", "pace", 1.0, "LoadS", LOAD_SECONDS, "WarmupS", 1.0)),
            "step_ms", 0.85, "per_seq_ms", 0.0055, "context_per_k", 0.0073, "read_per_s", 196000.0, "pairs_per_m",
            0.166, "chunk", 512, "report_lag_ms", 200.0, "LoadsPerS", 0.0, "loads_at_once", 6, "delays", List.of(),
            "usual", Json.object("prompt", 772, "answer", 172), "Layers", LAYERS, "LayerMb", 1750.0,
            "ActivationBytes", 42268, "PipeMbps", 9000.0,
            "Kinds", List.of(Json.object("Name", "h100", "SizeMb", 72000.0, "pace", 1.4, "ReadFactor", 1.0)));
        return Json.object("Name", "model", "HealthPath", "/health", "MaxConnections", 1128, "Protocol", "h1", "Tls",
            false, "Engine", engine);
    }

    static Map<String, Object> route(String prefix) {
        Map<String, Object> route = Manifest.route("summaries", prefix, "streaming", "model", 20_000, 500, 2);
        route.put("Sticky", true);
        route.put("Resumable", true);
        route.put("GapTargetMs", 200);
        return route;
    }
}
