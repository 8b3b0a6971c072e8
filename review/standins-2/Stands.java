import java.io.FileWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/** Time, threads and the record that all stand-ins of a case share. */
final class Stands {
    private static final long START = System.nanoTime();
    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, daemonThreads("timer"));
    private static final Random RANDOM = new Random();
    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();
    private static PrintWriter record;

    private Stands() {}

    /** Milliseconds since the start of the case, by the steady clock. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static ThreadFactory daemonThreads(String name) {
        return task -> {
            Thread thread = new Thread(null, task, name, 256 * 1024);
            thread.setDaemon(true);
            return thread;
        };
    }

    static void every(long millis, Runnable task) {
        TIMER.scheduleAtFixedRate(task, millis, millis, TimeUnit.MILLISECONDS);
    }

    static void after(long millis, Runnable task) {
        TIMER.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    static void start(Runnable task) {
        daemonThreads("task").newThread(task).start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleepUntil(long moment) {
        sleep(moment - now());
    }

    static void openRecord(Path file) throws IOException {
        record = new PrintWriter(new FileWriter(file.toFile()), true);
    }

    static synchronized void log(String line) {
        String text = String.format("%7d ms  %s", now(), line);
        record.println(text);
    }

    /** A free port below the range from which the system takes those of outgoing channels. */
    static int freePort() {
        for (int i = 0; i < 1_000; i++) {
            int port = 20_000 + RANDOM.nextInt(12_000);
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                DatagramSocket udp = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                if (TAKEN.add(tcp.getLocalPort()) && udp.isBound()) return port;
            } catch (IOException e) {
                // Somebody else has this one.
            }
        }
        throw new IllegalStateException("no free port");
    }
}
