import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Just enough of HTTP/1.1 for the stand-ins: one thread for each connection, bodies with a length or in chunks. */
final class Http {
    private Http() {
    }

    /** A message; the names of its headers are in lower case. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** One side of a connection. */
    static final class Connection implements Closeable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static Connection open(String address, int timeoutMillis) throws IOException {
            Socket socket = new Socket();
            socket.connect(socketAddress(address), timeoutMillis);
            return new Connection(socket);
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.UTF_8));
        }

        synchronized void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        /** Writes a whole answer. {@code headers} are complete lines. */
        void answer(int status, String headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(("HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
            all.write(bytes);
            write(all.toByteArray());
        }

        /** The head of the next message, or null at the end of the connection. */
        Message readHead() throws IOException {
            String first = readLine();
            if (first == null) return null;
            Message message = new Message();
            message.first = first;
            for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
                int colon = line.indexOf(':');
                message.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
            }
            return message;
        }

        void readBody(Message message) throws IOException {
            String length = message.header("content-length");
            if (length != null) {
                message.body = in.readNBytes(Integer.parseInt(length));
                if (message.body.length < Integer.parseInt(length)) throw new EOFException("within a body");
            } else if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                for (byte[] chunk = readChunk(); chunk.length > 0; chunk = readChunk()) body.write(chunk);
                message.body = body.toByteArray();
            }
        }

        /** The next chunk; empty at the end of the body. */
        byte[] readChunk() throws IOException {
            String line = readLine();
            if (line == null) throw new EOFException("within a chunked body");
            int size = Integer.parseInt(line.trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) throw new EOFException("within a chunk");
            readLine();
            return chunk;
        }

        private String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    if (line.size() == 0) return null;
                    throw new EOFException("within a line");
                }
                if (b != '\r') line.write(b);
            }
            return line.toString(StandardCharsets.UTF_8);
        }

        /** Closes with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                // The connection has ended already.
            }
            close();
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // The connection has ended already.
            }
        }
    }

    interface Handler {
        /** Answers one request. Throws to close the connection. */
        void handle(Connection connection, Message request) throws Exception;
    }

    /** Listens on a loopback address until it is closed; on a free port if {@code port} is 0. */
    static final class Server implements Closeable {
        private final ServerSocket socket;
        private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

        Server(int port, Handler handler) throws IOException {
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port == 0 ? Ports.free() : port), 1024);
            start("server", () -> {
                while (true) {
                    Connection connection = new Connection(socket.accept());
                    connections.add(connection);
                    start("connection", () -> serve(connection, handler));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        int port() {
            return socket.getLocalPort();
        }

        /** Stops listening; connections stay open. */
        void stopListening() throws IOException {
            socket.close();
        }

        /** Ends all connections with a reset and stops listening, as a process that is killed. */
        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
            connections.forEach(Connection::reset);
        }

        private void serve(Connection connection, Handler handler) throws Exception {
            try (connection) {
                for (Message request = connection.readHead(); request != null; request = connection.readHead()) {
                    connection.readBody(request);
                    handler.handle(connection, request);
                }
            } finally {
                connections.remove(connection);
            }
        }
    }

    interface Task {
        void run() throws Exception;
    }

    /** Runs {@code task} on a thread of its own; its failure ends only that. */
    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                if (System.getenv("REVIEW_DEBUG") != null) System.err.println(name + ": " + e);
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
