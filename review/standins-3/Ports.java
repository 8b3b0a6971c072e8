import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Free ports below those that the system gives to outgoing connections. */
final class Ports {
    private static final int FIRST = 15_000;
    private static final int COUNT = 15_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> TAKEN = new HashSet<>();

    private Ports() {
    }

    static synchronized int free() throws IOException {
        while (true) {
            int port = FIRST + RANDOM.nextInt(COUNT);
            if (TAKEN.add(port) && isFree(port)) return port;
        }
    }

    private static boolean isFree(int port) throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
            DatagramSocket udp = new DatagramSocket(new InetSocketAddress(loopback, port))) {
            return tcp.isBound() && udp.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
